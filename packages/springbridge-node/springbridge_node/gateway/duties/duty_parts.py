"""Joins the parts of the duties; a node whose settings name no duty has none of them."""

from collections.abc import Callable, Coroutine

from springbridge.duties.lease import Takeover, length_s, renewal_s
from springbridge.membership import Membership
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import Admitted, Service

from springbridge_node.gateway.duties.duty_platform import DutyPlatform, LeaseStore
from springbridge_node.gateway.duties.lease_candidates import LeaseCandidates
from springbridge_node.gateway.duties.lease_keeper import LeaseKeeper
from springbridge_node.gateway.duties.scaler import Scaler
from springbridge_node.gateway.duties.usage_reporter import UsageReporter
from springbridge_node.gateway.duties.usage_sharing import TELL_S, UsageSharing
from springbridge_node.gateway.gateway_settings import DutySettings
from springbridge_node.gateway.outside import Outside
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.telemetry import Telemetry
from springbridge_node.periodic import every, every_tick

# Seconds after the start before the lease is looked at, in which the other nodes become known.
FIRST_LOOK_S = 1.0
# Seconds between two looks at what the holder has to do.
ACT_S = 0.5


class DutyParts:
    """The duties of one node.

    Attributes:
      keeper: Holds the lease.
      sharing: Counts requests.
      reporter: Reports the counts.
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
        """Join the parts; nothing is started yet."""
        me = membership.me
        lease_s = length_s(settings.no_return_s)
        candidates = LeaseCandidates(membership)
        self._settings = settings
        self._renewal_s = renewal_s(lease_s)
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
        self.keeper.connect(self._taken, self.reporter.content, self.reporter.renewed)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to tell peers and to be told."""
        self.sharing.connect(datagrams)

    def work(self) -> tuple[Coroutine[None, None, None], ...]:
        """Return the work of all tasks, none of which ends by itself."""
        tasks = [
            every_tick(TELL_S, self.sharing.step),
            every(self._renewal_s, self.keeper.step, FIRST_LOOK_S),
        ]
        if self._settings.reports_usage:
            tasks.append(every(ACT_S, self.reporter.step, FIRST_LOOK_S))
        if self._settings.orders_endpoints:
            tasks.append(every(ACT_S, self.scaler.step, FIRST_LOOK_S))
        return tuple(tasks)

    def count_admitted(self, admitted: Admitted) -> None:
        """Count the work of a request that is sent to endpoints."""
        self.sharing.sent(admitted)

    def count_run(self, admitted: Admitted) -> None:
        """Count a request that an endpoint began."""
        if admitted.customer:
            self.sharing.began(admitted.customer)

    def show(self, telemetry: Telemetry) -> None:
        """Set the gauges of the duties."""
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
        """Hand the lease on because this node is stopped."""
        await self.keeper.leave()

    def _taken(self, takeover: Takeover) -> None:
        """Go on from where the holder before this node was."""
        self.reporter.taken(takeover)
        self.scaler.taken()


def duty_parts(
    settings: DutySettings,
    membership: Membership,
    registry: EndpointRegistry,
    outside: Outside,
    services: Callable[[], dict[str, Service]],
) -> DutyParts | None:
    """Return the duties of a node, None if its settings or its platform name none."""
    if outside.duties is None or not settings.has_any:
        return None
    return DutyParts(settings, membership, registry, outside.store, outside.duties, services)
