"""Sends this node's heartbeat: its phase, and which configuration and endpoint list it has.

A node that was never ready is silent, so that no caller is sent there. Before each beat the node
checks whether it stood still; if it did, it must not confirm to others what it knew before.
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

# Seconds between two heartbeats. Four beats fit into the 1.2 s after which a silent member is
# suspected.
BEAT_S = 0.25
# Seconds by which a beat may be late before the process counts as having stood still. More than two
# beats. BEAT_S + STALL_S is below the 1.1 s for which peers' confirmations count, so that a stall
# is noticed before the next confirmation would be wrong.
STALL_S = 0.6


class Heartbeats:
    """Sends heartbeats and the digests that carry them.

    Attributes:
      suspensions: How often the machine was found to have been suspended.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        endpoints: EndpointFollower,
        catch_up: ConfigurationCatchUp,
        is_ready: Callable[[], bool],
    ) -> None:
        """Keep the parts.

        Args:
          catch_up: Woken when a digest brought news and while this node has no configuration.
          is_ready: Returns whether callers may be sent here.
        """
        self._membership = membership
        self._configuration = configuration
        self._endpoints = endpoints
        self._catch_up = catch_up
        self._is_ready = is_ready
        self._gossip: Gossip | None = None
        self._member_log = MemberLog(membership)
        self._last_beat_s = clock.now_s()
        self._suspension = clock.SuspensionWatch()
        self.suspensions = 0

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to take in peers' digests; heartbeats need this first."""
        self._gossip = Gossip(
            self._membership, datagrams, self._catch_up.wake_if_behind, self._may_tell
        )

    def push(self) -> None:
        """Send as many peers as gossip reaches at once what this node has, if it is ready."""
        self._count_beat()
        if self._is_ready():
            self.push_now()

    def push_now(self) -> None:
        """Send the digest as it is to as many peers as gossip reaches at once, ready or not."""
        if self._gossip is not None:
            self._gossip.push()

    async def beat(self) -> None:
        """Send a digest to a few peers, unless this node is still starting."""
        self._notice_stall()
        self._member_log.check()
        for member, age_s in self._membership.confirmations():
            self._configuration.confirm(member.config_version, age_s)
        if self._may_tell():
            self._count_beat()
            self._gossip.send(self._membership.gossip_targets())
        elif self._configuration.index is None:
            self._catch_up.wake()

    def forget_gone(self) -> None:
        """Drop what is kept of members that are gone."""
        self._membership.forget_old()
        self._gossip.forget_gone()

    def _may_tell(self) -> bool:
        """Return whether peers may hear of this node: it is ready, or it leaves."""
        return self._is_ready() or not self._membership.is_live()

    def _notice_stall(self) -> None:
        """After a time in which this process did not run, read the configuration anew.

        It comes first, so that no digest confirms what was known before that time.
        """
        self._log_suspension()
        now_s = clock.now_s()
        last_s, self._last_beat_s = self._last_beat_s, now_s
        if now_s - last_s > STALL_S + BEAT_S:
            logs.event("node.stalled", seconds=round(now_s - last_s, 3))
            self._configuration.refresh()

    def _log_suspension(self) -> None:
        """Log that the machine was suspended; all ages count that time."""
        suspended_s = self._suspension.suspended_s()
        if suspended_s:
            self.suspensions += 1
            logs.event("node.suspended", seconds=round(suspended_s, 3))

    def _count_beat(self) -> None:
        """Count up this node's heartbeat and state what it has."""
        self._membership.beat(
            self._configuration.version,
            min(OLDEST_AGE_S, self._configuration.age_s()),
            not self._endpoints.dependency.up,
            self._endpoints.snapshot_status(),
        )
