"""Assembles the parts of the duties; a node whose settings enable no duty has none of them."""

from collections.abc import Callable, Coroutine

from springbridge.duties.lease import Takeover, lease_length_s, renewal_interval_s
from springbridge.membership import Membership
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Admitted, Service

from springbridge_node.gateway.duties.duty_platform import DutyPlatform, LeaseStore
from springbridge_node.gateway.duties.lease_candidates import LeaseCandidates
from springbridge_node.gateway.duties.lease_keeper import LeaseKeeper
from springbridge_node.gateway.duties.scaler import Scaler
from springbridge_node.gateway.duties.usage_reporter import UsageReporter
from springbridge_node.gateway.duties.usage_sharing import SEND_INTERVAL_S, UsageSharing
from springbridge_node.gateway.gateway_settings import DutySettings
from springbridge_node.gateway.outside import PlatformPorts
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.telemetry import Telemetry
from springbridge_node.periodic import every, every_tick

# Seconds after the start before the first step; the node learns of the other nodes in this time.
START_DELAY_S = 1.0
# Seconds between two steps of the reporter, and of the scaler.
STEP_INTERVAL_S = 0.5


class DutyParts:
    """The duties of one node.

    Attributes:
      keeper: Acquires and renews the lease.
      sharing: Counts requests and shares the counts.
      reporter: Reports the usage to the platform.
      scaler: Orders endpoints.
    """

    def __init__(
        self,
        settings: DutySettings,
        membership: Membership,
        registry: EndpointRegistry,
        store: LeaseStore,
        platform: DutyPlatform,
        services: Callable[[], dict[str, Service]],
    ) -> None:
        """Create and connect the parts; nothing is started yet."""
        me = membership.me
        lease_s = lease_length_s(settings.no_return_s)
        candidates = LeaseCandidates(membership)
        self._settings = settings
        self._renewal_s = renewal_interval_s(lease_s)
        self.keeper = LeaseKeeper(store, candidates, me.instance, me.incarnation, lease_s)
        self.sharing = UsageSharing(candidates, me.incarnation, settings.window_s)
        self.reporter = UsageReporter(
            self.keeper,
            self.sharing,
            platform,
            candidates,
            settings.window_s,
            settings.reports_usage,
        )
        self.scaler = Scaler(self.keeper, self.sharing, platform, registry, services)
        self.keeper.connect(self._on_taken, self.reporter.decide_content, self.reporter.on_renewed)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start exchanging usage counts with peers."""
        self.sharing.connect(datagrams)

    def periodic_work(self) -> tuple[Coroutine[None, None, None], ...]:
        """Return the coroutines of all periodic tasks, none of which ends by itself."""
        tasks = [
            every_tick(SEND_INTERVAL_S, self.sharing.step),
            every(self._renewal_s, self.keeper.step, START_DELAY_S),
        ]
        if self._settings.reports_usage:
            tasks.append(every(STEP_INTERVAL_S, self.reporter.step, START_DELAY_S))
        if self._settings.orders_endpoints:
            tasks.append(every(STEP_INTERVAL_S, self.scaler.step, START_DELAY_S))
        return tuple(tasks)

    def count_admitted(self, admitted: Admitted) -> None:
        """Count the work of a request that is sent to endpoints."""
        self.sharing.count_work(admitted)

    def count_run(self, admitted: Admitted) -> None:
        """Count a request that an endpoint began, if it names a customer."""
        if admitted.customer:
            self.sharing.count_request(admitted.customer)

    def set_gauges(self, telemetry: Telemetry) -> None:
        """Set the gauges of the lease and of the duty calls."""
        credentials = self.keeper.credentials
        telemetry.lease_token.set(credentials.token if credentials else 0)
        for result, count in (
            ("usage sent", self.reporter.sent),
            ("usage missed", self.reporter.missed),
            ("ordered", self.scaler.orders),
            ("order refused", self.scaler.refused),
        ):
            telemetry.duty_calls.labels(result).set(count)

    async def leave(self) -> None:
        """Release the lease, as part of a planned stop."""
        await self.keeper.leave()

    def _on_taken(self, takeover: Takeover) -> None:
        """Let reporter and scaler continue after a takeover of the lease."""
        self.reporter.continue_from(takeover)
        self.scaler.reset()


def duty_parts(
    settings: DutySettings,
    membership: Membership,
    registry: EndpointRegistry,
    ports: PlatformPorts,
    services: Callable[[], dict[str, Service]],
) -> DutyParts | None:
    """Return the duties of a node, or None if its settings or its platform have none."""
    if ports.duties is None or not settings.has_any:
        return None
    return DutyParts(settings, membership, registry, ports.store, ports.duties, services)
