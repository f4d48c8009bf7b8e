"""A node of ``springbridge serve``: wires its parts, runs its tasks, and performs its planned stop.

Owns the node's incarnation, its parts and its periodic tasks. Depends on the ports of the library;
assembly.py provides the platform's adapters.

The gateway has its own planned stop (gateway/lifecycle.py), since its platform kills it after a
grace period. Nothing limits the stop here: it waits for every answer.
"""

import asyncio
import random
import secrets
import signal
import time
from collections.abc import Awaitable

from grpclib.server import Server
from returns.result import Failure, Success
from springbridge.classes.binding import RequestRecords
from springbridge.classes.entities import EndpointKind
from springbridge.classes.invariants import Invariants
from springbridge.classes.ports import InstanceList, TableStore
from springbridge.classes.slots.slot_client import SlotClient
from springbridge.membership import Member, Membership
from tornado.httpserver import HTTPServer

from springbridge_node import clock, logs
from springbridge_node.class_router import class_log, metrics
from springbridge_node.class_router.callers.http_app import make_application
from springbridge_node.class_router.config.config_sync import ConfigSync
from springbridge_node.class_router.config.editing import Editor
from springbridge_node.class_router.endpoints.endpoint_http import make_client
from springbridge_node.class_router.endpoints.load_reports import LoadReports
from springbridge_node.class_router.endpoints.model_client import ModelClient
from springbridge_node.class_router.endpoints.orders import Orders
from springbridge_node.class_router.endpoints.policies import slot_source_for
from springbridge_node.class_router.endpoints.scheduler_host import SchedulerHost
from springbridge_node.class_router.endpoints.scheduler_roles import SchedulerRoles
from springbridge_node.class_router.endpoints.service_client import ServiceClient
from springbridge_node.class_router.housekeeping import Housekeeping
from springbridge_node.class_router.node_parts import NodeParts
from springbridge_node.class_router.operators.operators_http import OperatorParts
from springbridge_node.class_router.peers.digest_sender import DigestSender
from springbridge_node.class_router.peers.message_intake import IntakeParts, MessageIntake
from springbridge_node.class_router.peers.messages import Message
from springbridge_node.class_router.peers.peer_links import NODE_KEY, TOKEN_KEY, PeerLinks
from springbridge_node.class_router.peers.peer_server import PeerService
from springbridge_node.class_router.requests.at_most_once import AtMostOnce
from springbridge_node.class_router.requests.growing_answers import KeptAnswers
from springbridge_node.class_router.requests.home_lookup import HomeLookup
from springbridge_node.class_router.requests.limit_gate import LimitGate
from springbridge_node.class_router.requests.runner import Runner
from springbridge_node.class_router.requests.slot_attempt import AttemptPorts
from springbridge_node.class_router.serve_settings import Policy, Settings, split
from springbridge_node.periodic import every

# Interval of polling the platform's list of instances. It only seeds the membership, which gossip
# corrects within seconds.
INSTANCE_LIST_POLL_INTERVAL_S = 2.0
# Added to the time for which callers may cache an address, before a leaving node refuses requests.
# It covers an address answer that was in transit when the node began to leave.
LEAVE_MARGIN_S = 0.5
# Interval of checking for requests in flight, and the time allowed for sending the last digest.
# It delays the end of a planned stop by this much at most.
DRAIN_POLL_S = 0.1
# Time after the last request for peers to read the end of an answer that they relay.
RELAY_GRACE_S = 1.0
# Largest body in bytes that the HTTP server lets a handler read. It is far above the setting
# max_body_bytes, so that the handler can answer BODY_TOO_LARGE and the server does not close the
# connection first.
MAX_DISCARDED_BODY_BYTES = 1 << 30

# Signals that begin a planned stop.
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


class Node:
    """One node process."""

    def __init__(self, settings: Settings, store: TableStore, listing: InstanceList):
        """Wire the parts; nothing runs yet.

        Args:
          store: The platform's table service.
          listing: The platform's list of instances.
        """
        self.settings = settings
        self.store = store
        self.listing = listing
        self.clock = clock.now_s
        self.incarnation = f"{settings.instance}-{secrets.token_hex(4)}"
        self.invariants = Invariants(class_log.violation, settings.abort_on_violation)
        self._metadata = {TOKEN_KEY: settings.peer_token, NODE_KEY: self.incarnation}
        self._wire_peers()
        self._wire_slots()
        self._wire_requests()
        self._wire_interfaces()
        self._tasks: list[asyncio.Task] = []
        self._stopping = asyncio.Event()

    def _wire_peers(self) -> None:
        """Wire the parts that synchronize members, table and limits with peers."""
        self.membership = Membership(self._own_member(), self.clock, random.Random())
        self.config = ConfigSync(
            self.store, self.membership, self.clock, self.send, self.invariants
        )
        self.limits = LimitGate(self.membership, self.clock, lambda: self.config.table, self.send)
        self.links = PeerLinks(self._metadata, self._on_link_open, self._on_link_break)
        self.digests = DigestSender(self.membership, self.config, self.links, self.clock)

    def _wire_slots(self) -> None:
        """Wire the schedulers on this node, and the client that requests slots from all of them."""
        self.hosts = SchedulerHost(
            self.incarnation, self.clock, self.invariants, lambda: self.config.table, self.send
        )
        self.roles = SchedulerRoles(self.config, self.membership, lambda: self.slots.resend())
        self.slots = SlotClient(
            self.incarnation,
            self.clock,
            self.roles.scheduler_of,
            self.send,
            self.invariants,
            random.Random(),
        )

    def _wire_requests(self) -> None:
        """Wire the parts that run requests at endpoints."""
        http = make_client()
        self.model_client = ModelClient(http)
        clients = {EndpointKind.MODEL: self.model_client, EndpointKind.SERVICE: ServiceClient(http)}
        bindings = RequestRecords(self.clock, time.time, self.invariants)
        self.answers = KeptAnswers(self.clock)
        self.load_reports = LoadReports(self.model_client, lambda: self.config.table)
        slots = slot_source_for(self.settings.policy, self.slots, self.load_reports)
        self.runner = Runner(AttemptPorts(slots, clients, bindings, self.clock))
        self.lookup = HomeLookup(self.membership, bindings, self.store, self.send)
        self.at_most_once = AtMostOnce(
            self.membership, bindings, self.answers, self.runner, self.lookup, self._metadata
        )

    def _wire_interfaces(self) -> None:
        """Wire the interfaces for peers, callers and operators."""
        self.intake = MessageIntake(
            IntakeParts(
                self.hosts, self.slots, self.membership, self.config, self.limits, self.lookup
            )
        )
        self.peer_service = PeerService(
            self.incarnation, self.settings.peer_token, self.answers, self.receive
        )
        self.parts = NodeParts(
            self.settings,
            self.clock,
            metrics.connect(self.settings.statsd_address),
            self.membership,
            self.config,
            self.limits,
            self.at_most_once,
        )
        orders = Orders(self.store, self.model_client, self.incarnation, self.clock)
        editor = Editor(self.store, self.config, self.membership, self.digests.announce)
        self.operator_parts = OperatorParts(
            self.parts, self.store, editor, orders, self.hosts, self.links, self.invariants
        )

    def _own_member(self) -> Member:
        return Member(
            incarnation=self.incarnation,
            instance=self.settings.instance,
            peer_address=self.settings.peer_address,
            caller_address=self.settings.caller_address,
            failure_domain=self.settings.failure_domain,
        )

    # Messages.

    def send(self, node: str, message: Message) -> None:
        """Send a message to an incarnation, without a guarantee of delivery."""
        if node == self.incarnation:
            asyncio.get_running_loop().call_soon(self.receive, message)
            return
        member = self.membership.find(node)
        if member is not None:
            self.links.send(member.peer_address, message)

    def receive(self, message: Message) -> None:
        """Dispatch a message from a peer or from this node itself."""
        self.intake.dispatch(message)

    def _on_link_open(self, address: str) -> None:
        """Send the peer a digest, then repeat messages that may have been lost."""
        self.digests.send_to(address)
        self.slots.resend()

    def _on_link_break(self, address: str) -> None:
        for member in self.membership.reachable():
            if member.peer_address == address:
                self.membership.lost_contact(member.incarnation)

    async def _poll_instance_list(self) -> None:
        """Read the platform's list of instances and seed the membership with it."""
        match await self.listing.instances():
            case Success(listed):
                addresses = {entry.peer_address for entry in listed if not entry.leaving}
                self.membership.set_listed(addresses)
            case Failure(_):
                # The previous list stays in use. It only seeds the membership, which gossip keeps
                # up to date during an outage; an outage of the table is shown by the heartbeats.
                pass

    # Lifecycle.

    async def run(self) -> None:
        """Serve until a planned stop has finished.

        Leaves the signals that stop it blocked, so that later ones do not change the exit status.
        """
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._stopping.set)
        class_log.start(self.settings.instance, self.incarnation)
        peer_server = Server([self.peer_service])
        host, port = split(self.settings.peer_address)
        await peer_server.start(host, port)
        caller_server = self._start_callers()
        self._start_tasks()
        await self._stopping.wait()
        await self._drain()
        caller_server.stop()
        await self._end_tasks()
        peer_server.close()
        await peer_server.wait_closed()
        logs.event("node.stopped", instance=self.settings.instance)
        # The event loop resets the handlers when it closes, and the default action of a signal that
        # comes after it would turn a finished stop into a failed one.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)

    def _start_callers(self) -> HTTPServer:
        """Listen for callers and operators."""
        application = make_application(self.parts, self.operator_parts)
        server = HTTPServer(application, max_body_size=MAX_DISCARDED_BODY_BYTES)
        host, port = split(self.settings.caller_address)
        server.listen(port, host)
        return server

    def _start_tasks(self) -> None:
        """Start the node's periodic tasks."""
        housekeeping = Housekeeping(
            self.membership,
            self.limits,
            self.hosts,
            self.slots,
            self.roles,
            self.digests,
            clock.SuspensionWatch(),
        )
        running: list[Awaitable[None]] = [
            self.config.run(),
            every(INSTANCE_LIST_POLL_INTERVAL_S, self._poll_instance_list),
            housekeeping.run(),
        ]
        if self.settings.policy == Policy.LEAST_LOAD:
            running.append(self.load_reports.run())
        self._tasks = [asyncio.ensure_future(one) for one in running]

    async def _drain(self) -> None:
        """Drain: announce the stop, serve while callers may have cached this address, then finish.

        New requests are refused once callers had time to learn other addresses. Requests in flight
        run to completion, however long they take.
        """
        logs.event("node.leaving", instance=self.settings.instance, running=self.parts.running)
        self.membership.leave()
        self.digests.announce()
        await asyncio.sleep(self.settings.keep_addresses_s + LEAVE_MARGIN_S)
        self.parts.refusing = True
        while self.parts.running or self.at_most_once.tasks:
            await asyncio.sleep(DRAIN_POLL_S)
        await asyncio.sleep(RELAY_GRACE_S)
        self.digests.announce_end()
        await asyncio.sleep(DRAIN_POLL_S)

    async def _end_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        # They were just cancelled, so they raise CancelledError.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.links.close()
