"""Sends this node's heartbeat with its phase, configuration version and endpoint list state.

A node that was never ready sends nothing, so that no caller is sent there. Before each heartbeat
the node checks whether its process was stalled; if it was, it must not confirm to peers a
configuration that it last checked before the stall.
"""

from collections.abc import Callable

from springbridge.membership import Membership
from springbridge.routing.store_freshness import OLDEST_AGE_S

from springbridge_node import clock, logs
from springbridge_node.gateway.config.configuration_follower import ConfigurationFollower
from springbridge_node.gateway.config.endpoint_follower import EndpointFollower
from springbridge_node.gateway.peers.config_catch_up import ConfigurationCatchUp
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.gossip import Gossip
from springbridge_node.gateway.peers.member_log import MemberLog
from springbridge_node.stall_watch import StallWatch

# Seconds between two heartbeats. Four intervals fit into the 1.2 s after which a silent member is
# suspected.
HEARTBEAT_INTERVAL_S = 0.25
# Seconds by which a heartbeat may be late before the process counts as stalled. More than two
# intervals. HEARTBEAT_INTERVAL_S + STALL_S is below the 1.1 s for which peers' confirmations count,
# so that a stall is detected before the node sends a confirmation that is no longer valid.
STALL_S = 0.6


class Heartbeats:
    """Sends heartbeats and the digests that carry them.

    Attributes:
      suspensions: Number of times that the machine was found to have been suspended.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        endpoints: EndpointFollower,
        catch_up: ConfigurationCatchUp,
        is_ready: Callable[[], bool],
        stalls: StallWatch,
    ) -> None:
        """Create heartbeats that send nothing until connect() is called.

        Args:
          catch_up: Woken when a digest shows a newer configuration, and at each heartbeat while
            this node is not ready and has no configuration.
          is_ready: Returns whether callers may be sent here.
          stalls: Gets each beat.
        """
        self._membership = membership
        self._configuration = configuration
        self._endpoints = endpoints
        self._catch_up = catch_up
        self._is_ready = is_ready
        self._gossip: Gossip | None = None
        self._member_log = MemberLog(membership)
        self._stalls = stalls
        self._suspension = clock.SuspensionWatch()
        self.suspensions = 0

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start receiving peers' digests; must be called before the first heartbeat."""
        self._gossip = Gossip(
            self._membership, datagrams, self._catch_up.wake_if_behind, self._may_announce
        )

    def push(self) -> None:
        """Send this node's updated state to up to MAX_PUSHED_PEERS peers, if it is ready."""
        self._update_own_row()
        if self._is_ready():
            self.push_now()

    def push_now(self) -> None:
        """Send this node's current row to up to MAX_PUSHED_PEERS peers, ready or not."""
        if self._gossip is not None:
            self._gossip.push()

    async def beat(self) -> None:
        """Send a digest to a few gossip targets, unless this node is still starting."""
        self._check_stall()
        self._member_log.check()
        for member, age_s in self._membership.confirmations():
            self._configuration.confirm(member.config_version, age_s)
        if self._may_announce():
            self._update_own_row()
            self._gossip.send(self._membership.gossip_targets())
        elif self._configuration.index is None:
            self._catch_up.wake()

    def forget_gone(self) -> None:
        """Drop the state kept for members that ended long ago."""
        self._membership.forget_old()
        self._gossip.forget_gone()

    def _may_announce(self) -> bool:
        """Return whether this node may send its own row: it is ready, or it is leaving."""
        return self._is_ready() or not self._membership.is_live()

    def _check_stall(self) -> None:
        """Refresh the configuration if this process has been stalled.

        This runs before the digest is sent, so that no digest confirms a configuration that was
        last checked before the stall.
        """
        self._log_suspension()
        late_s = self._stalls.beat()
        if late_s > STALL_S:
            logs.event("node.stalled", seconds=round(late_s + HEARTBEAT_INTERVAL_S, 3))
            self._configuration.refresh()

    def _log_suspension(self) -> None:
        """Log that the machine was suspended; all ages include the time of the suspension."""
        suspended_s = self._suspension.suspended_s()
        if suspended_s:
            self.suspensions += 1
            logs.event("node.suspended", seconds=round(suspended_s, 3))

    def _update_own_row(self) -> None:
        """Increment this node's heartbeat and update its own row."""
        self._membership.beat(
            self._configuration.version,
            min(OLDEST_AGE_S, self._configuration.age_s()),
            not self._endpoints.dependency.up,
            self._endpoints.snapshot_status(),
        )
