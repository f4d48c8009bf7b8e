"""HTTP interface for operators: the table, its audit trail, orders to endpoints, node status."""

import hmac
from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success
from springbridge.classes.invariants import Invariants
from springbridge.classes.ports import OrderKind, TableStore
from springbridge.classes.slots.scheduler import EndpointScheduler
from springbridge.classes.table.changes import Edit
from springbridge.codes import Code
from springbridge.membership import Member
from springbridge.problems import Problem
from tornado.web import RequestHandler

from springbridge_node import logs
from springbridge_node.class_router.callers.caller_handler import JSON, describe
from springbridge_node.class_router.config.editing import Editor, EditRequest
from springbridge_node.class_router.endpoints.orders import Orders
from springbridge_node.class_router.endpoints.scheduler_host import SchedulerHost
from springbridge_node.class_router.node_parts import NodeParts
from springbridge_node.class_router.peers.peer_links import PeerLinks

TOKEN_HEADER = "Springbridge-Operator-Token"
# Most changes in one answer of the audit trail; `after` requests the next. Bounds the scan of the
# platform's table.
AUDIT_LIMIT = 1000


@dataclass(frozen=True)
class OperatorParts:
    """Dependencies of the operators' handlers."""

    node: NodeParts
    store: TableStore
    editor: Editor
    orders: Orders
    hosts: SchedulerHost
    links: PeerLinks
    invariants: Invariants


class OperatorHandler(RequestHandler):
    """Base of the handlers for operators: checks the token and answers problems."""

    parts: OperatorParts

    def initialize(self, parts: OperatorParts) -> None:
        """Store the dependencies."""
        self.parts = parts

    def prepare(self) -> None:
        """Refuse a request without the operators' token."""
        given = self.request.headers.get(TOKEN_HEADER, "")
        token = self.parts.node.settings.operator_token
        if not hmac.compare_digest(given.encode(), token.encode()):
            self.refuse([Problem(Code.OPERATOR_UNKNOWN, source=TOKEN_HEADER)])

    def refuse(self, problems: list[Problem]) -> None:
        """Answer with problems; the first decides the status."""
        self.set_status(problems[0].info.http_status)
        self.set_header("Content-Type", JSON)
        self.finish(orjson.dumps({"errors": [describe(problem) for problem in problems]}))

    def reply(self, body: object) -> None:
        """Answer with JSON."""
        self.set_header("Content-Type", JSON)
        self.finish(orjson.dumps(body))

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an internal error without a traceback."""
        self.refuse([Problem(Code.INTERNAL)])

    def log_exception(self, kind, value, trace) -> None:
        """Log an unexpected exception by its type only."""
        logs.fault(value, type(self).__name__)


class TableHandler(OperatorHandler):
    """Shows and edits the table."""

    def get(self) -> None:
        """Answer with the version and rows in force on this node."""
        self.reply(self.parts.node.config.snapshot)

    async def post(self) -> None:
        """Accept or refuse an edit."""
        match read_edit(self.request.body):
            case Failure(problem):
                self.refuse([problem])
            case Success(request):
                await self._edit(request)

    async def _edit(self, request: EditRequest) -> None:
        match await self.parts.editor.edit(request):
            case Success(version):
                self.reply({"version": version})
            case Failure(problems):
                self.refuse(problems)


class AuditHandler(OperatorHandler):
    """Shows the audit trail."""

    async def get(self) -> None:
        """Answer with the changes after a version, oldest first."""
        after = self.get_query_argument("after", "0")
        if not after.isdecimal():
            self.refuse([Problem(Code.HEADER_MALFORMED, "after takes a version")])
            return
        match await self.parts.store.changes(int(after), AUDIT_LIMIT):
            case Success(changes):
                self.reply({"changes": changes})
            case Failure(problem):
                self.refuse([problem])


class OrderHandler(OperatorHandler):
    """Sends orders to endpoints."""

    async def post(self) -> None:
        """Send the order and answer with the lease epoch under which it was accepted."""
        try:
            raw = orjson.loads(self.request.body)
            kind = OrderKind(raw["order"])
            argument = str(raw["argument"])
            endpoint = self.parts.node.config.table.endpoints[raw["engine"]]
        except (ValueError, KeyError, TypeError):
            self.refuse([Problem(Code.BODY_MALFORMED, "engine, order and argument are needed")])
            return
        match await self.parts.orders.give(endpoint, kind, argument):
            case Success(epoch):
                self.reply({"epoch": epoch})
            case Failure(problem):
                self.refuse([problem])


class StatusHandler(OperatorHandler):
    """Shows the node's status."""

    def get(self) -> None:
        """Answer with members, version, schedulers, invariants and counts."""
        parts = self.parts
        node = parts.node
        sent = parts.links.sent()
        closed = node.refusal_reason()
        self.reply(
            {
                "me": _member_row(node.membership.me),
                "serving": closed is None,
                "closed_code": None if closed is None else int(closed.code),
                "version": node.config.table.version,
                "live": sorted(node.membership.incarnations()),
                "running": node.running,
                "bound_tasks": len(node.at_most_once.tasks),
                "violations": dict(parts.invariants.violations),
                "checks": dict(parts.invariants.checks),
                "sent_messages": sent.messages,
                "sent_bytes": sent.bytes,
                "engines": [
                    _scheduler_row(name, scheduler)
                    for name, scheduler in parts.hosts.schedulers.items()
                ],
            }
        )


def _scheduler_row(endpoint: str, scheduler: EndpointScheduler) -> dict[str, object]:
    """Return the status of an endpoint's scheduler."""
    return {
        "engine": endpoint,
        "limits": [round(limit.limit, 2) for limit in scheduler.limits.tiers.values()],
        "running": len(scheduler.running),
        "waiting": len(scheduler.queue),
        "suspect": scheduler.health.suspect,
    }


def _member_row(member: Member) -> dict[str, object]:
    """Return the status of a member; operators' tools use older names of some fields."""
    return {
        "incarnation": member.incarnation,
        "instance": member.instance,
        "peer_address": member.peer_address,
        "caller_address": member.caller_address,
        "place": member.failure_domain,
        "heartbeat": member.heartbeat,
        "phase": member.phase,
        "config_version": member.config_version,
        "confirmed_ago_s": member.confirmed_ago_s,
        "table_out": member.table_out,
        "listing": {
            "mark": member.endpoint_snapshot.fingerprint,
            "age_s": member.endpoint_snapshot.age_s,
        },
    }


def read_edit(body: bytes) -> Result[EditRequest, Problem]:
    """Return the edit in a body, or BODY_MALFORMED."""
    try:
        raw = orjson.loads(body)
        edits = tuple(Edit(edit["key"], edit["before"], edit["after"]) for edit in raw["edits"])
        request = EditRequest(
            str(raw["change_id"]),
            str(raw["who"]),
            int(raw["base_version"]),
            bool(raw["strict"]),
            edits,
        )
    except (ValueError, KeyError, TypeError):
        return _malformed("an edit needs change_id, who, base_version and edits")
    if not request.change_id or not request.who or not request.edits:
        return _malformed("change_id, who and edits must not be empty")
    return Success(request)


def _malformed(detail: str) -> Result[EditRequest, Problem]:
    return Failure(Problem(Code.BODY_MALFORMED, detail))
