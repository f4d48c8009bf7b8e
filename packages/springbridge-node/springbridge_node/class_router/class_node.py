"""A node: its parts wired together, its tasks, and its planned stop."""

import asyncio
import itertools
import random
import secrets
import signal
import time
from collections.abc import Awaitable

from grpclib.server import Server
from returns.result import Failure, Success
from springbridge.classes.binding import Bindings
from springbridge.classes.entities import EndpointKind
from springbridge.classes.invariants import Invariants
from springbridge.classes.ports import InstanceList, TableStore
from springbridge.classes.slots.slot_client import SlotClient
from springbridge.membership import GOSSIP_INTERVAL_S, Member, Membership
from tornado.httpserver import HTTPServer

from springbridge_node import logs
from springbridge_node.class_router import metrics
from springbridge_node.class_router.callers.http_app import make_application
from springbridge_node.class_router.config.config_sync import ConfigSync
from springbridge_node.class_router.config.editing import Editor, Orders
from springbridge_node.class_router.endpoints.endpoint_http import (
    ModelClient,
    ServiceClient,
    make_client,
)
from springbridge_node.class_router.endpoints.engine_roles import EngineRoles
from springbridge_node.class_router.endpoints.load_reports import LoadReports
from springbridge_node.class_router.endpoints.policies import slot_source
from springbridge_node.class_router.endpoints.scheduler_host import TICK_S, SchedulerHost
from springbridge_node.class_router.node_parts import Services
from springbridge_node.class_router.operators.operators_http import OperatorServices
from springbridge_node.class_router.peers.message_intake import IntakeParts, MessageIntake
from springbridge_node.class_router.peers.messages import (
    Digest,
    Message,
)
from springbridge_node.class_router.peers.peer_links import NODE_KEY, TOKEN_KEY, PeerLinks
from springbridge_node.class_router.peers.peer_server import PeerService
from springbridge_node.class_router.requests.answers import KeptAnswers
from springbridge_node.class_router.requests.home import Home
from springbridge_node.class_router.requests.limit_gate import LimitGate
from springbridge_node.class_router.requests.runner import Runner
from springbridge_node.class_router.serve_settings import Settings, split
from springbridge_node.periodic import every, guarded

LIST_POLL_S = 2.0
RENEW_TICKS = int(0.4 / TICK_S)
GOSSIP_TICKS = int(GOSSIP_INTERVAL_S / TICK_S)
INVENTORY_TICKS = int(1.0 / TICK_S)
TIDY_TICKS = int(5.0 / TICK_S)
LEAVE_MARGIN_S = 0.5
DRAIN_POLL_S = 0.1
LINGER_S = 1.0
LARGEST_DISCARDED_BYTES = 1 << 30


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
        self.clock = time.monotonic
        self.incarnation = f"{settings.instance}-{secrets.token_hex(4)}"
        self.invariants = Invariants(logs.violation, settings.abort_on_violation)
        self.metrics = metrics.connect(settings.statsd_address)
        self.membership = Membership(self._myself(), self.clock, random.Random())
        self.config = ConfigSync(store, self.membership, self.clock, self.send, self.invariants)
        self.hosts = SchedulerHost(
            self.incarnation, self.clock, self.invariants, lambda: self.config.table, self.send
        )
        self.limits = LimitGate(self.membership, self.clock, lambda: self.config.table, self.send)
        metadata = {TOKEN_KEY: settings.peer_token, NODE_KEY: self.incarnation}
        self.links = PeerLinks(metadata, self._link_opened, self._link_broke)
        self.roles = EngineRoles(self.config, self.membership, lambda: self.slots.resend())
        self.slots = SlotClient(
            self.incarnation,
            self.clock,
            self.roles.scheduler_of,
            self.send,
            self.invariants,
            random.Random(),
        )
        self._wire_requests(metadata)
        self._tasks: list[asyncio.Task] = []
        self._stopping = asyncio.Event()

    def _wire_requests(self, metadata: dict[str, str]) -> None:
        """Wire what runs requests and serves operators."""
        http = make_client()
        model_client = ModelClient(http)
        clients = {EndpointKind.MODEL: model_client, EndpointKind.SERVICE: ServiceClient(http)}
        bindings = Bindings(self.clock, time.time, self.invariants)
        answers = KeptAnswers(self.clock)
        self.load_reports = LoadReports(model_client, lambda: self.config.table)
        self.runner = Runner(
            slot_source(self.settings.policy, self.slots, self.load_reports),
            clients,
            bindings,
            self.clock,
        )
        self.home = Home(
            self.membership, bindings, answers, self.runner, self.store, self.send, metadata
        )
        self.intake = MessageIntake(
            IntakeParts(
                self.hosts, self.slots, self.membership, self.config, self.limits, self.home
            )
        )
        self.services = Services(
            self.settings,
            self.clock,
            self.metrics,
            self.membership,
            self.config,
            self.limits,
            self.runner,
            self.home,
        )
        self.peer_service = PeerService(
            self.incarnation, self.settings.peer_token, answers, self.take
        )
        orders = Orders(self.store, model_client, self.incarnation, self.clock)
        editor = Editor(self.store, self.config, self.membership, self.announce)
        self.operator_services = OperatorServices(
            self.services, self.store, editor, orders, self.hosts, self.links, self.invariants
        )

    def _myself(self) -> Member:
        return Member(
            incarnation=self.incarnation,
            instance=self.settings.instance,
            peer_address=self.settings.peer_address,
            caller_address=self.settings.caller_address,
            failure_domain=self.settings.failure_domain,
        )

    # Messages.

    def send(self, node: str, message: Message) -> None:
        """Send a message to an incarnation; it may get lost."""
        if node == self.incarnation:
            asyncio.get_running_loop().call_soon(self.take, message)
            return
        member = self.membership.find(node)
        if member is not None:
            self.links.send(member.peer_address, message)

    def take(self, message: Message) -> None:
        """Take in a message from a peer or from this node itself."""
        self.intake.take(message)

    def _link_opened(self, address: str) -> None:
        """Introduce this node to the peer, then repeat what may have been lost."""
        self._beat()
        self.links.send(address, Digest(tuple(self.membership.digest())))
        self.slots.resend()

    def _link_broke(self, address: str) -> None:
        for member in self.membership.reachable():
            if member.peer_address == address:
                self.membership.lost_contact(member.incarnation)

    # Roles.

    def _drop_silent(self) -> None:
        """Forget what entry nodes that went silent have at the schedulers here."""
        heard = {member.incarnation for member in self.membership.reachable()}
        self.hosts.drop_nodes(lambda node: node not in heard and node != self.incarnation)

    def _tidy(self) -> None:
        """Forget what other nodes own now and members that are long gone."""
        self.membership.forget_old()
        self.limits.tidy()
        self.hosts.keep_only(lambda endpoint: self.roles.scheduler_of(endpoint) == self.incarnation)

    # Membership.

    def _beat(self) -> None:
        confirmation = self.config.confirmation
        ago_s = min(1e9, confirmation.ago_s(self.clock()))
        self.membership.beat(self.config.snapshot.version, ago_s, confirmation.table_out)

    def _gossip(self) -> None:
        """Send a digest to a few peers."""
        self._beat()
        digest = Digest(tuple(self.membership.digest()))
        for address in self.membership.gossip_targets():
            self.links.send(address, digest)

    def announce(self) -> None:
        """Send a digest to all peers at once."""
        self._beat()
        digest = Digest(tuple(self.membership.digest()))
        for member in self.membership.reachable():
            self.links.send(member.peer_address, digest)

    async def _read_list(self) -> None:
        """Take in the platform's list; its failures are the platform's outages."""
        match await self.listing.instances():
            case Success(listed):
                addresses = {entry.peer_address for entry in listed if not entry.leaving}
                self.membership.set_listed(addresses)
            case Failure(_):
                pass

    # Life.

    async def run(self) -> None:
        """Serve until a planned stop has finished."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        logs.start(self.settings.instance, self.incarnation)
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

    def _start_callers(self) -> HTTPServer:
        """Listen for callers and operators."""
        application = make_application(self.services, self.operator_services)
        server = HTTPServer(application, max_body_size=LARGEST_DISCARDED_BYTES)
        host, port = split(self.settings.caller_address)
        server.listen(port, host)
        return server

    def _start_tasks(self) -> None:
        """Start the node's periodic tasks."""
        running: list[Awaitable[None]] = [
            self.config.run(),
            every(LIST_POLL_S, self._read_list),
            self._keep_house(),
        ]
        if self.settings.policy == "least-load":
            running.append(self.load_reports.run())
        self._tasks = [asyncio.ensure_future(one) for one in running]

    async def _keep_house(self) -> None:
        """Do what is due now and then, all from one timer, since each wake-up costs time."""
        steps = {
            self.roles.check: 1,
            self.hosts.tick: 1,
            self.limits.renew_in_use: RENEW_TICKS,
            self._gossip: GOSSIP_TICKS,
            self._drop_silent: GOSSIP_TICKS,
            self.slots.send_inventories: INVENTORY_TICKS,
            self._tidy: TIDY_TICKS,
        }
        for tick in itertools.count():
            for step, ticks in steps.items():
                if tick % ticks == 0:
                    guarded(step)
            await asyncio.sleep(TICK_S)

    async def _drain(self) -> None:
        """Leave: tell all peers, take new requests while callers may come, finish what runs."""
        logs.event("node.leaving", instance=self.settings.instance, running=self.services.running)
        self.membership.leave()
        self.announce()
        await asyncio.sleep(self.settings.keep_addresses_s + LEAVE_MARGIN_S)
        self.services.refusing = True
        while self.services.running or self.home.tasks:
            await asyncio.sleep(DRAIN_POLL_S)
        await asyncio.sleep(LINGER_S)
        self.membership.end()
        digest = Digest((self.membership.me,))
        for member in self.membership.reachable():
            self.links.send(member.peer_address, digest)
        await asyncio.sleep(DRAIN_POLL_S)

    async def _end_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.links.close()
