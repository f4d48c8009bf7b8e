"""Assembles a node that routes by host and path, and runs its listeners and periodic tasks.

Everything specific to the platform (store, formats, small interfaces) comes through the ports in
PlatformPorts.
"""

import asyncio
import random
from collections.abc import Coroutine, Mapping
from dataclasses import replace

from springbridge.codes import Code
from springbridge.instance_limits import ListenerKind
from springbridge.membership import Membership
from springbridge.problems import Problem
from springbridge.routing.admission import RouteIndex
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.planned_stop import address_ttl_s
from springbridge.routing.readiness import is_ready
from springbridge.routing.records import CallerLimits
from springbridge.routing.retry_after import while_leaving
from springbridge.routing.shared_retry_budget import SharedRetryBudget
from springbridge.routing.store_freshness import ROLES_AFTER_S, snapshot_interval_s

from springbridge_node import clock, logs
from springbridge_node.gateway.callers.answer import CallerAnswer
from springbridge_node.gateway.callers.directory import AddressBook
from springbridge_node.gateway.callers.ingress import (
    CallerHandlers,
    CallerListener,
    IncomingRequest,
)
from springbridge_node.gateway.config.configuration_follower import ConfigurationFollower
from springbridge_node.gateway.config.endpoint_follower import EndpointFollower, FollowerHooks
from springbridge_node.gateway.config.source import Source
from springbridge_node.gateway.config.store_readers import StoreReaders
from springbridge_node.gateway.config.stored_quarantine import (
    CHECK_INTERVAL_S as QUARANTINE_CHECK_INTERVAL_S,
)
from springbridge_node.gateway.config.version_register import VersionRegister
from springbridge_node.gateway.duties.duty_parts import duty_parts
from springbridge_node.gateway.endpoints.path_parts import PathParts
from springbridge_node.gateway.endpoints.prober import PROBE_INTERVAL_S
from springbridge_node.gateway.gateway_settings import GatewaySettings
from springbridge_node.gateway.http.small_server import TEXT, Reply, SmallInterface, serve_small
from springbridge_node.gateway.inbound.intake import SWEEP_INTERVAL_S, Intake
from springbridge_node.gateway.metrics_page import METRICS_PATH, set_gauges
from springbridge_node.gateway.outside import PlatformPorts
from springbridge_node.gateway.peers.config_catch_up import ConfigurationCatchUp
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.evacuation_sharing import EvacuationSharing
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S, Heartbeats
from springbridge_node.gateway.peers.origin_sharing import OriginSharing
from springbridge_node.gateway.peers.own_member import PACE, member_of
from springbridge_node.gateway.peers.peer_builds import records_versions
from springbridge_node.gateway.peers.peer_client import PeerClient
from springbridge_node.gateway.peers.peer_discovery import (
    DISCOVERY_DELAY_S,
    DISCOVERY_INTERVAL_S,
    PeerDiscovery,
)
from springbridge_node.gateway.peers.peer_handlers import peer_handlers
from springbridge_node.gateway.quarantine_page import quarantine_commands, quarantine_queries
from springbridge_node.gateway.requests.place_gate import PlaceGate
from springbridge_node.gateway.requests.quarantine_parts import QuarantineParts
from springbridge_node.gateway.requests.rate_parts import RateParts
from springbridge_node.gateway.requests.request_log import RequestLog
from springbridge_node.gateway.requests.rest_refusals import RestRefusals
from springbridge_node.gateway.requests.router import RequestRouter
from springbridge_node.gateway.requests.router_parts import RouterParts
from springbridge_node.gateway.requests.selection_parts import SelectionParts
from springbridge_node.gateway.requests.stream_versions import StreamVersions
from springbridge_node.gateway.requests.usage_meter import NullUsageMeter
from springbridge_node.gateway.telemetry import Telemetry
from springbridge_node.periodic import every, every_tick, guarded_step
from springbridge_node.stall_watch import StallWatch

# Seconds between two clean-ups of the state of endpoints and peers that are gone. They bound memory
# and idle connections; no decision depends on them.
SWEEP_S = 2.0
LEAVING = Problem(Code.NODE_LEAVING, "planned stop", retry_after_s=while_leaving())


class Gateway:
    """One node: owns its parts, its listeners and its tasks.

    Attributes:
      settings: The settings in force; reload() replaces them.
      stalls: The latest stalls of this process.
      membership: The nodes of the fleet, this one included.
      registry: The endpoints and the state of each.
      configuration: Follows and holds the configuration in force.
      versions: Records the versions of endpoints in the store before they are used.
      endpoints: Keeps the endpoint list in the registry up to date.
      path_parts: Connect to endpoints, directly or through peers, and serve peers likewise.
      rates: Enforces the request rates that endpoints announce.
      places: Sends requests to brittle endpoints only with a place.
      origins: Keeps and finds what began each stream.
      evacuations: The failure domains that operators evacuate; their endpoints get no requests.
      budget: This node's share of the fleet's retry budget.
      router: Serves the requests.
      intake: What the clients of all listeners take.
      listener: Accepts the callers' connections.
      duties: Duties that one node performs for the whole fleet; None if there are none.
      store_steps: Number of times the store was found restored from an older copy.
    """

    def __init__(self, settings: GatewaySettings, ports: PlatformPorts) -> None:
        """Create and connect the parts; nothing is started yet."""
        self.settings = settings
        self._ports = ports
        self.telemetry = Telemetry()
        self.stalls = StallWatch(HEARTBEAT_INTERVAL_S)
        self.membership = Membership(member_of(settings), clock.now_s, random.Random(), PACE)
        self.registry = EndpointRegistry(clock.now_s, settings.drain_s)
        self.rates = RateParts(
            self.membership,
            self.registry,
            self.telemetry,
            services=lambda: self.configuration.services(),
        )
        self.places = PlaceGate(self.membership, self.registry)
        self.rates.watch.on_rejections = self.places.record
        self.selection_parts = SelectionParts(self.registry, self.membership, self.rates.table)
        self.path_parts = PathParts(
            self.membership, self.registry, settings.ip, self.live_node_count, ports.checks
        )
        self.pool = self.path_parts.pool
        self.budget = SharedRetryBudget(settings.budget, self.live_node_count, clock.now_s)
        self.readers = StoreReaders(
            self.membership,
            settings.asks_seeds_first,
            roles_after_s=ROLES_AFTER_S if settings.other_seeds else 0.0,
        )
        self.origins = OriginSharing(self.membership, self.registry.seen.report, clock.now_s)
        self.quarantine_parts = QuarantineParts(
            self.membership,
            self.registry,
            self.path_parts.confirmation,
            ports.store,
            self.readers,
            self.telemetry,
        )
        self.peer_client = PeerClient(self.membership, lambda: list(self.settings.other_seeds))
        self.evacuations = EvacuationSharing(
            self.membership, self.registry, on_change=self.rates.update_cold_limits
        )
        self.configuration = self._configuration_follower()
        self.duties = duty_parts(
            settings.duties,
            self.membership,
            self.registry,
            ports,
            self.configuration.services,
        )
        self.versions = VersionRegister(
            ports.store, self._all_record_versions, settings.first_start
        )
        self.endpoints = self._endpoint_follower()
        self.router = RequestRouter(self._router_parts())
        self.intake = Intake(settings.limits, self.telemetry)
        handlers = CallerHandlers(
            self._serve, self.router.refuse, self._decide, ports.codec.request_id
        )
        self.listener = CallerListener(handlers, self.intake)
        self.catch_up = ConfigurationCatchUp(self.membership, self.configuration, self.peer_client)
        self.heartbeats = Heartbeats(
            self.membership,
            self.configuration,
            self.endpoints,
            self.catch_up,
            self.is_ready,
            self.stalls,
        )
        self.discovery = PeerDiscovery(
            self.membership, ports.store, self.readers, lambda: self.settings.seeds
        )
        self.datagrams: PeerDatagrams | None = None
        self.store_steps = 0
        self._tasks: list[asyncio.Task] = []
        self._refusing = False
        ports.store.on_store_rollback(self._store_went_back)

    def _store_went_back(self, era: int) -> None:
        """Read the configuration again, and repeat writes that the store may have lost."""
        self.store_steps += 1
        logs.event("store.went_back", era=era, config_version=self.configuration.version)
        self.configuration.refresh()
        self.discovery.announce_again()
        self.quarantine_parts.stored.rewrite_rows()
        self.versions.store_went_back()

    def _configuration_follower(self) -> ConfigurationFollower:
        """Create the part that keeps the configuration up to date."""
        return ConfigurationFollower(
            self._ports.store,
            self._ports.read_configuration,
            self._configuration_installed,
            self.readers,
            on_evacuations=self.evacuations.apply_store,
        )

    def _endpoint_follower(self) -> EndpointFollower:
        """Create the part that keeps the endpoint list up to date."""
        return EndpointFollower(
            self._ports.store,
            self.registry,
            self.membership,
            self.readers,
            FollowerHooks(
                capacities=self.configuration.token_capacities,
                fetch=self.peer_client.endpoints,
                on_changed=lambda: self.heartbeats.push(),
                on_regained=self.configuration.refresh,
                cold_services=self.configuration.cold_services,
                admit=self.versions.admit,
            ),
            snapshot_interval_s(self.settings.drain_s),
        )

    def _router_parts(self) -> RouterParts:
        """Return the dependencies of the router."""
        return RouterParts(
            index=lambda: self.configuration.index,
            configuration_retry_after_s=self.configuration.retry_after_s,
            registry=self.registry,
            paths=self.path_parts.paths,
            stalls=self.path_parts.stalls,
            ends=self.path_parts.ends,
            pool=self.pool,
            budget=self.budget,
            codec=self._ports.codec,
            selector=self.selection_parts.selector,
            request_log=RequestLog(self.telemetry, self.stalls),
            loads=self.selection_parts.loads,
            gate=self.quarantine_parts.gate,
            failure_domain=self.settings.failure_domain,
            usage=self.duties or NullUsageMeter(),
            rates=self.rates,
            places=self.places,
            rest_refusals=RestRefusals(self.registry, self.telemetry),
            streams=StreamVersions(self.registry, self.origins, self.versions),
        )

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        self._open_listeners()
        await self._open_datagrams()
        self.membership.set_listed(self.settings.seeds)
        # Before the tasks, which fetch the configuration: the node serves requests once it has one,
        # but peers send it crash records only some heartbeats after they know it.
        for record in await self.peer_client.crash_records():
            self.quarantine_parts.merge(record)
        self._tasks = [asyncio.ensure_future(work) for work in self._periodic_work()]

    def _open_listeners(self) -> None:
        """Accept connections on all addresses of this node."""
        addresses = self.settings.addresses
        book = AddressBook(self.membership, address_ttl_s(self.settings.longest_ttl_s))
        for_peers = peer_handlers(
            lambda: self.configuration, self.registry, self.quarantine_parts.suspects
        )
        ready = SmallInterface(self._ports.ready_handlers(self.is_ready))
        serve_small(addresses.ready, ListenerKind.READY, ready, self.intake)
        directory = SmallInterface(self._ports.directory_handlers(book))
        serve_small(addresses.directory, ListenerKind.DIRECTORY, directory, self.intake)
        peers = SmallInterface(for_peers, self.path_parts.tunnel_server.serve)
        serve_small(addresses.peers, ListenerKind.PEERS, peers, self.intake)
        metrics = SmallInterface(
            {METRICS_PATH: self._metrics, **quarantine_queries(self.quarantine_parts)},
            commands=quarantine_commands(self.quarantine_parts),
        )
        serve_small(addresses.metrics, ListenerKind.METRICS, metrics, self.intake)
        self.listener.listen(addresses.callers, CallerLimits())

    async def _open_datagrams(self) -> None:
        """Open the datagram socket and connect the parts that use it."""
        self.datagrams = await PeerDatagrams.open(
            self.membership, self.settings.ip, self.settings.gossip_port
        )
        self.heartbeats.connect(self.datagrams)
        self.selection_parts.connect(self.datagrams)
        self.quarantine_parts.connect(self.datagrams)
        self.rates.connect(self.datagrams)
        self.places.connect(self.datagrams)
        self.origins.connect(self.datagrams)
        self.evacuations.connect(self.datagrams)
        if self.duties is not None:
            self.duties.connect(self.datagrams)

    def _periodic_work(self) -> tuple[Coroutine[None, None, None], ...]:
        """Return the coroutines of all tasks, none of which ends by itself."""
        return (
            self.configuration.run(),
            every(0.0, self.endpoints.step),
            every_tick(PROBE_INTERVAL_S, self.path_parts.prober.step),
            every_tick(HEARTBEAT_INTERVAL_S, self.path_parts.close_ended),
            every_tick(HEARTBEAT_INTERVAL_S, self.heartbeats.beat),
            every_tick(HEARTBEAT_INTERVAL_S, self.quarantine_parts.beat),
            every_tick(HEARTBEAT_INTERVAL_S, self.rates.beat),
            every_tick(HEARTBEAT_INTERVAL_S, self.places.sharing.beat),
            every_tick(HEARTBEAT_INTERVAL_S, self.evacuations.beat),
            every_tick(QUARANTINE_CHECK_INTERVAL_S, self.quarantine_parts.stored.step),
            every(DISCOVERY_INTERVAL_S, self.discovery.step, DISCOVERY_DELAY_S),
            every(0.0, self.catch_up.step),
            every_tick(SWEEP_S, self._sweep),
            every_tick(SWEEP_INTERVAL_S, self.intake.sweep),
            *(self.duties.periodic_work() if self.duties is not None else ()),
        )

    def is_ready(self) -> bool:
        """Return whether this node is ready to serve callers."""
        return is_ready(
            is_live=self.membership.is_live(),
            has_configuration=self.configuration.index is not None,
            has_endpoint_list=self.registry.revision >= 0,
        )

    def leave(self) -> None:
        """Begin a planned stop: notify the peers, and close connections after their answers."""
        self.membership.leave()
        self.heartbeats.push_now()
        self.listener.close_after_answers()

    def refuse_new(self) -> None:
        """Refuse new connections and requests; requests in progress continue."""
        self._refusing = True
        self.listener.stop_accepting()

    def in_progress(self) -> int:
        """Return how many requests of callers, and tunnels of peers, are in progress."""
        return len(self.listener.in_progress) + self.path_parts.tunnel_server.count

    def give_up_requests(self) -> None:
        """Give up the requests in progress; their answers say whether they may have run."""
        self.router.give_up_all()

    async def release_duties(self) -> None:
        """Release the lease of the duties, so that another node takes over."""
        if self.duties is not None:
            await self.duties.leave()

    async def end(self) -> None:
        """Notify the peers and stop all tasks."""
        self.membership.end()
        self.heartbeats.push_now()
        if self.duties is not None:
            await guarded_step(self.duties.sharing.step)
        for task in self._tasks:
            task.cancel()
        # Periodic steps log their own faults; only the cancellations are left here.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.datagrams is not None:
            self.datagrams.close()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings, except addresses, which are fixed at the start."""
        self.settings = replace(settings, addresses=self.settings.addresses)
        self.budget.limits = settings.budget
        self.membership.set_listed(settings.seeds)
        logs.event("settings.reloaded", seeds=list(settings.seeds))

    async def _serve(self, request: IncomingRequest, answer: CallerAnswer) -> None:
        """Serve a request, or refuse it near the end of a planned stop."""
        if self._refusing:
            await self.router.refuse(request, answer, LEAVING)
        else:
            await self.router.serve(request, answer)

    def _decide(self, request: IncomingRequest) -> Problem | float:
        """Return why a request is refused by its head, or until when its body may arrive."""
        return LEAVING if self._refusing else self.router.decide(request)

    def _metrics(self, query: dict[str, str]) -> Reply:
        """Return the metrics as text, after an update of the gauges."""
        set_gauges(self)
        return Reply(200, self.telemetry.text(), TEXT)

    def unreadable_rows(self) -> Mapping[str, int]:
        """Return how many rows of the store could not be read at the last read, by table."""
        return self._ports.store.unreadable_rows()

    def _all_record_versions(self) -> bool:
        """Return whether all instances record the versions of the endpoints that they use."""
        return all(records_versions(each.heartbeat) for each in self.membership.reachable())

    def live_node_count(self) -> int:
        """Return the number of nodes that share the retry budget and the endpoints' connections."""
        return max(1, self.membership.live_count())

    def _configuration_installed(self, index: RouteIndex, source: Source) -> None:
        """Apply the new limits to callers, and push a version read from the store to peers."""
        self.listener.apply(index.configuration.limits)
        if source is Source.STORE:
            self.heartbeats.push()

    async def _sweep(self) -> None:
        """Drop the state and connections of endpoints and peers that are gone."""
        known = self.registry.known_incarnations()
        self.pool.keep_only(known)
        self.path_parts.paths.forget_old(known)
        self.rates.forget_gone(known)
        self.places.forget_gone(known)
        self.registry.statements.forget_gone(known)
        self.registry.expire_loads()
        heard = {member.incarnation for member in self.membership.reachable()}
        self.registry.drop_loads_except(heard | {self.membership.me.incarnation})
        self.heartbeats.forget_gone()
        self.quarantine_parts.gate.forget_old()
