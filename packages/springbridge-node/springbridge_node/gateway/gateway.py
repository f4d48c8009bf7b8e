"""A node that routes by host and path: its parts, joined, and the tasks that keep them fresh."""

import asyncio
import os
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from springbridge.codes import Code
from springbridge.membership import Member, Membership, Pace
from springbridge.problems import Problem
from springbridge.routing.admission import RouteIndex
from springbridge.routing.endpoint_choice import Chooser
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import CallerLimits
from springbridge.routing.shared_retry_budget import SharedRetryBudget

from springbridge_node import logs
from springbridge_node.gateway.callers.answer import CallerAnswer
from springbridge_node.gateway.callers.directory import AddressBook
from springbridge_node.gateway.callers.ingress import CallerListener, IncomingRequest
from springbridge_node.gateway.config.configuration_follower import STORE, ConfigurationFollower
from springbridge_node.gateway.config.endpoint_follower import EndpointFollower
from springbridge_node.gateway.config.platform_store import ConfigurationReader, PlatformStore
from springbridge_node.gateway.config.store_readers import StoreReaders
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.endpoints.prober import EndpointProber
from springbridge_node.gateway.gateway_settings import GatewaySettings
from springbridge_node.gateway.http.small_server import TEXT, Handler, Reply, SmallServer
from springbridge_node.gateway.peers.config_catch_up import ConfigurationCatchUp
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.heartbeats import BEAT_S, Heartbeats
from springbridge_node.gateway.peers.peer_client import PeerClient
from springbridge_node.gateway.peers.peer_discovery import (
    DISCOVERY_DELAY_S,
    DISCOVERY_INTERVAL_S,
    PeerDiscovery,
)
from springbridge_node.gateway.peers.peer_handlers import peer_handlers
from springbridge_node.gateway.requests.request_codec import RequestCodec
from springbridge_node.gateway.requests.request_log import RequestLog
from springbridge_node.gateway.requests.router import RequestRouter, RouterParts
from springbridge_node.gateway.requests.selection_parts import SelectionParts
from springbridge_node.gateway.telemetry import Telemetry
from springbridge_node.periodic import every

PACE = Pace(peers=3, suspect_s=1.2)
SWEEP_S = 2.0
ADDRESS_TTL_S = 1.0
SNAPSHOT_INTERVAL_S = 0.5
SNAPSHOT_SHARE_OF_DRAIN = 0.25
METRICS_PATH = "/metrics"
LEAVING = Problem(Code.NODE_LEAVING, "planned stop", retry_after_s=0.05)


@dataclass(frozen=True)
class Outside:
    """The ports of a node to its platform.

    Attributes:
      ready_handlers: Make the handlers of the ready address from what they ask.
      directory_handlers: Make those of the directory address.
    """

    store: PlatformStore
    read_configuration: ConfigurationReader
    codec: RequestCodec
    ready_handlers: Callable[[Callable[[], bool]], Mapping[str, Handler]]
    directory_handlers: Callable[[AddressBook], Mapping[str, Handler]]


class Gateway:
    """One node."""

    def __init__(
        self, settings: GatewaySettings, outside: Outside, choose: Chooser | None = None
    ) -> None:
        """Join the parts; nothing is started yet."""
        self.settings = settings
        self._outside = outside
        self.telemetry = Telemetry()
        self.membership = Membership(_member(settings), time.monotonic, random.Random(), PACE)
        self.registry = EndpointRegistry(time.monotonic, settings.drain_s)
        self.selection_parts = SelectionParts(self.registry, self.membership, choose)
        self.pool = ConnectionPool(self._live_nodes)
        self.readers = StoreReaders(self.membership, settings.asks_seeds_first)
        self.configuration = ConfigurationFollower(
            outside.store,
            outside.read_configuration,
            self._configuration_installed,
            self.readers,
        )
        self.peer_client = PeerClient(self.membership, lambda: list(self.settings.other_seeds))
        self.endpoints = EndpointFollower(
            outside.store,
            self.registry,
            self.membership,
            self.readers,
            self._capacities,
            self.peer_client.endpoints,
            self._push,
            self.configuration.refresh,
            min(SNAPSHOT_INTERVAL_S, settings.drain_s * SNAPSHOT_SHARE_OF_DRAIN),
        )
        self.budget = SharedRetryBudget(settings.budget, self._live_nodes, time.monotonic)
        self.router = RequestRouter(
            RouterParts(
                lambda: self.configuration.index,
                self.configuration.due_s,
                self.registry,
                self.pool,
                self.budget,
                outside.codec,
                self.selection_parts.selector,
                RequestLog(self.telemetry),
                self.selection_parts.loads,
                settings.failure_domain,
            )
        )
        self.listener = CallerListener(self._serve)
        self.datagrams: PeerDatagrams | None = None
        self.catch_up = ConfigurationCatchUp(self.membership, self.configuration, self.peer_client)
        self.heartbeats = Heartbeats(
            self.membership, self.configuration, self.endpoints, self.catch_up, self.is_ready
        )
        self.discovery = PeerDiscovery(
            self.membership, outside.store, self.readers, lambda: self.settings.seeds
        )
        self._tasks: list[asyncio.Task] = []
        self._refusing = False

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        addresses = self.settings.addresses
        ttl_s = min(ADDRESS_TTL_S, self.settings.longest_ttl_s)
        self._serve_small(addresses.ready, self._outside.ready_handlers(self.is_ready))
        self._serve_small(
            addresses.directory,
            self._outside.directory_handlers(AddressBook(self.membership, ttl_s)),
        )
        self._serve_small(addresses.peers, peer_handlers(lambda: self.configuration, self.registry))
        self._serve_small(addresses.metrics, {METRICS_PATH: self._metrics})
        self.listener.listen(addresses.callers, _limits(self.configuration.index))
        self.datagrams = datagrams = await PeerDatagrams.open(
            self.membership, self.settings.ip, self.settings.gossip_port
        )
        self.heartbeats.connect(datagrams)
        self.selection_parts.connect(datagrams)
        self.membership.set_listed(self.settings.seeds)
        self._tasks = [
            asyncio.ensure_future(task)
            for task in (
                self.configuration.run(),
                every(0.0, self.endpoints.step),
                every(0.0, EndpointProber(self.registry, self.pool).step),
                every(BEAT_S, self.heartbeats.beat),
                every(DISCOVERY_INTERVAL_S, self.discovery.step, DISCOVERY_DELAY_S),
                every(0.0, self.catch_up.step),
                every(SWEEP_S, self._sweep),
            )
        ]

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return (
            self.membership.is_live()
            and self.configuration.index is not None
            and self.registry.revision >= 0
        )

    def leave(self) -> None:
        """Begin a planned stop: tell all peers, and let connections end with their answers."""
        self.membership.leave()
        self.heartbeats.push_phase()
        self.listener.close_after_answers()

    def refuse_new(self) -> None:
        """Take no further connections and refuse further requests; what is in progress goes on."""
        self._refusing = True
        self.listener.stop_accepting()

    async def end(self) -> None:
        """Stop all tasks."""
        self.membership.end()
        self.heartbeats.push_phase()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.datagrams is not None:
            self.datagrams.close()

    def reload(self, settings: GatewaySettings) -> None:
        """Take over changed settings; addresses stay as they were at the start."""
        self.settings = replace(settings, addresses=self.settings.addresses)
        self.budget.terms = settings.budget
        self.membership.set_listed(settings.seeds)
        logs.event("settings.reloaded", seeds=list(settings.seeds))

    def _serve_small(self, address: str, handlers: Mapping[str, Handler]) -> None:
        """Serve a small interface if it has an address."""
        if address:
            SmallServer(handlers).listen(address)

    async def _serve(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve a request, or refuse it near the end of a planned stop."""
        if self._refusing:
            await answer.refuse(LEAVING)
        else:
            await self.router.serve(request, answer)

    def _metrics(self, query: dict[str, str]) -> Reply:
        """Return the metrics as text."""
        self.telemetry.nodes.set(self._live_nodes())
        self.telemetry.endpoints.set(len(self.registry.entries()))
        self.telemetry.config_version.set(self.configuration.version)
        self.telemetry.store_up.set(int(self.endpoints.dependency.up))
        self.telemetry.dropped_lines.set(logs.dropped())
        return Reply(200, self.telemetry.text(), TEXT)

    def _live_nodes(self) -> int:
        return max(1, len(self.membership.live()))

    def _capacities(self) -> dict[str, int]:
        """Return the tokens that an endpoint of each service keeps."""
        index = self.configuration.index
        if index is None:
            return {}
        services = index.configuration.services
        return {name: service.token_capacity for name, service in services.items()}

    def _configuration_installed(self, index: RouteIndex, source: str) -> None:
        """Hold callers to the new limits; who has a version from the store tells all peers."""
        self.listener.apply(index.configuration.limits)
        if source == STORE:
            self._push()

    def _push(self) -> None:
        """Tell all peers at once what this node knows."""
        self.heartbeats.push()

    async def _sweep(self) -> None:
        """Drop what belongs to endpoints and members that are gone."""
        self.pool.keep_only(self.registry.known_ids())
        self.registry.expire_loads()
        heard = {member.incarnation for member in self.membership.reachable()}
        self.registry.keep_loads_of(heard | {self.membership.me.incarnation})
        self.heartbeats.forget_gone()


def _member(settings: GatewaySettings) -> Member:
    """Return this node as its peers will know it; the incarnation is new at each start."""
    return Member(
        incarnation=os.urandom(5).hex(),
        instance=settings.name,
        peer_address=settings.addresses.peers,
        caller_address=settings.addresses.callers,
        failure_domain=settings.failure_domain,
    )


def _limits(index: RouteIndex | None) -> CallerLimits:
    """Return the limits for callers, the defaults before the first configuration."""
    return index.configuration.limits if index else CallerLimits()
