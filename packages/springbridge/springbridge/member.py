"""Records of the membership: one node as another one knows it."""

from dataclasses import dataclass, replace
from enum import IntEnum

# Age in seconds of what was never confirmed or read. Derived: far beyond all limits on ages, and
# finite, because ages are sent as numbers.
NEVER_S = 1e9


class Phase(IntEnum):
    """Phase of a member; it only ever moves forward. The number is sent to peers."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


@dataclass(frozen=True)
class SnapshotStatus:
    """Which list of endpoints a node has.

    Attributes:
      fingerprint: Hash of its content; two nodes with the same fingerprint have the same list.
      age_s: Seconds since it was last read or confirmed.
    """

    fingerprint: int = 0
    age_s: float = NEVER_S


@dataclass(frozen=True)
class HeartbeatAge:
    """How long ago a member gave its last sign of life, as one node knows it.

    Attributes:
      ago_s: Seconds since the member itself sent the heartbeat, however many nodes passed it on.
    """

    incarnation: str
    ago_s: float


@dataclass(frozen=True)
class Member:
    """What is known of one incarnation of a node.

    Attributes:
      incarnation: Names one run of the node's process among all runs of all nodes.
      instance: Name of the instance that runs the node, alike in all incarnations.
      peer_address: IP number and port for peers.
      caller_address: IP number and port for callers.
      heartbeat: Counts up while the node runs.
      config_version: Version of the operators' configuration that the node has in force.
      confirmed_ago_s: Seconds since the node, or a peer that it got this from, read that version
        as the newest.
      table_out: Whether the node cannot reach the operators' table.
      endpoint_snapshot: Which list of endpoints the node has.
      heard_ago_s: Age of the member's last sign of life, as the teller knows it: 0 in what a member
        says of itself, more in what a third node tells of it.
    """

    incarnation: str
    instance: str
    peer_address: str
    caller_address: str
    failure_domain: str
    heartbeat: int = 0
    phase: Phase = Phase.LIVE
    config_version: int = 0
    confirmed_ago_s: float = NEVER_S
    table_out: bool = False
    endpoint_snapshot: SnapshotStatus = SnapshotStatus()
    heard_ago_s: float = 0.0

    def aged(self, by_s: float, heard_ago_s: float) -> "Member":
        """Return the member as it is told of some seconds after it stated itself.

        Args:
          by_s: Seconds by which the ages of what it stated count on.
          heard_ago_s: Age of its last sign of life.
        """
        snapshot = self.endpoint_snapshot
        return replace(
            self,
            confirmed_ago_s=self.confirmed_ago_s + by_s,
            endpoint_snapshot=SnapshotStatus(snapshot.fingerprint, snapshot.age_s + by_s),
            heard_ago_s=heard_ago_s,
        )
