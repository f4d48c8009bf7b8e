"""Membership records that nodes gossip: the state of one node, and the age of its heartbeat."""

from dataclasses import dataclass, replace
from enum import IntEnum

# Age in seconds of something that was never confirmed or read. Far beyond all limits on ages, and
# finite, because ages are sent as numbers.
NEVER_S = 1e9


class Phase(IntEnum):
    """Lifecycle phase of a member; it only moves forward. The number is sent to peers."""

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
    """Age of a member's last heartbeat, as one node knows it.

    Attributes:
      age_s: Seconds since the member itself sent the heartbeat, however many nodes relayed it.
    """

    incarnation: str
    age_s: float


@dataclass(frozen=True)
class Member:
    """The state of one incarnation of a node.

    Attributes:
      incarnation: Identifies one run of the node's process among all runs of all nodes.
      instance: Name of the instance that runs the node, the same in all incarnations.
      peer_address: IP number and port for peers.
      caller_address: IP number and port for callers.
      heartbeat: Counter that the node increments while it runs.
      config_version: Version of the operators' configuration that the node has in force.
      confirmed_ago_s: Seconds since the node, or a peer that it got this from, read that version
        as the newest.
      table_out: Whether the node cannot reach the operators' table.
      endpoint_snapshot: Which list of endpoints the node has.
      heard_ago_s: Age of the member's last heartbeat, as the sender knows it: 0 in a member's own
        entry, more in an entry relayed by a third node.
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
        """Return the member as relayed some seconds after its state was received.

        Args:
          by_s: Seconds to add to the ages in its state.
          heard_ago_s: Age of its last heartbeat.
        """
        snapshot = self.endpoint_snapshot
        return replace(
            self,
            confirmed_ago_s=self.confirmed_ago_s + by_s,
            endpoint_snapshot=SnapshotStatus(snapshot.fingerprint, snapshot.age_s + by_s),
            heard_ago_s=heard_ago_s,
        )
