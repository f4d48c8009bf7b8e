"""Base of the HTTP handlers for callers, which answers problems; also health and readiness."""

import orjson
from springbridge.codes import Code
from springbridge.problems import Problem
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from springbridge_node import logs
from springbridge_node.class_router.node_parts import NodeParts

JSON = "application/json"


class CallerHandler(RequestHandler):
    """Base of all handlers for callers."""

    node: NodeParts

    def initialize(self, node: NodeParts) -> None:
        """Store the node's parts."""
        self.node = node

    def refuse(self, problem: Problem) -> None:
        """Answer with a problem and end the request."""
        self.finish(self.prepare_refusal(problem))

    def prepare_refusal(self, problem: Problem) -> bytes:
        """Set status and headers for a problem and return the body."""
        self.node.metrics.incr(f"answers.{problem.code.name}")
        self.set_status(problem.info.http_status)
        self.set_header("Content-Type", JSON)
        if problem.retry_after_s is not None:
            self.set_header("Retry-After", f"{problem.retry_after_s:.2f}")
        body: dict[str, object] = {"error": describe(problem)}
        if problem.code in (Code.NODE_LEAVING, Code.WRONG_PLACE, Code.CONFIG_NOT_FRESH):
            body["addresses"] = [member.caller_address for member in self.node.other_live()]
        return orjson.dumps(body)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an internal error or an unknown path; callers never see a traceback."""
        code = Code.UNKNOWN_PATH if status_code in (404, 405) else Code.INTERNAL
        self.refuse(Problem(code))

    def log_exception(self, kind, value, trace) -> None:
        """Log an unexpected exception by its type only, as its text may hold content."""
        if kind is not StreamClosedError:
            logs.fault(value, type(self).__name__)


def describe(problem: Problem) -> dict[str, object]:
    """Return a problem as the JSON object that callers and operators receive."""
    return {
        "code": int(problem.code),
        "name": problem.code.name,
        "fate": problem.info.fate.value,
        "message": problem.sentence(),
        "retry_after_s": problem.retry_after_s,
    }


class NotFoundHandler(CallerHandler):
    """Answers paths that do not exist."""

    def prepare(self) -> None:
        """Refuse before any body is read."""
        self.refuse(Problem(Code.UNKNOWN_PATH, source=self.request.path[:100]))


class HealthHandler(CallerHandler):
    """Liveness: the process answers."""

    def get(self) -> None:
        """Answer with 200."""
        self.finish({"alive": True})


class ReadyHandler(CallerHandler):
    """Readiness: the node accepts new requests."""

    def get(self) -> None:
        """Answer with 200 and the table's version, or with why requests are refused."""
        problem = self.node.refusal_reason()
        if problem is not None:
            self.refuse(problem)
        else:
            self.finish({"ready": True, "version": self.node.config.table.version})
