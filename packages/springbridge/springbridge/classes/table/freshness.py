"""Table freshness: whether a node may serve under the version of the table that it holds.

Decides whether a node serves.
Inputs: seconds since its version was last known to be the newest (by its own read of the platform's
table, or from a peer that read it), whether the table is unavailable to this node and to its peers,
their versions, and whether the node reaches a majority of all nodes.
Result: the node serves, or refuses with CONFIG_NOT_FRESH.
An accepted change must be in force on every serving node within IN_FORCE_S. While the table is
unavailable to all nodes, no change can be accepted, so a majority that finds it unavailable may
continue: a change is accepted only by a node that reaches the table and a majority, and any two
majorities share a node, through which the change reaches the others. The full argument is in
docs/design/configuration.md.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from springbridge.membership import Member

# Time after its acceptance within which a change must be in force on every serving node.
IN_FORCE_S = 4.0
# How long a node serves without a confirmation of its version. Longer than the second between two
# reads of the version, and shorter than IN_FORCE_S.
STALE_S = 3.0
# Time of a confirmation that has not happened; long past on any clock.
NEVER_S = -1e9

assert (
    STALE_S < IN_FORCE_S
), "a node without a confirmation must stop before a change counts as in force"


@dataclass
class Confirmation:
    """When this node's version was last known to be the newest, on this node's clock.

    Attributes:
      version: Version of the table that this node holds; 0 for none.
      confirmed_s: When that version was last known to be the newest.
      table_out: Whether this node's last read of the platform's table failed.
    """

    version: int = 0
    confirmed_s: float = NEVER_S
    table_out: bool = True

    def confirmed(self, version: int, at_s: float) -> None:
        """Record that a version was the newest at a time; older versions are ignored."""
        if version == self.version:
            self.confirmed_s = max(self.confirmed_s, at_s)
        elif version > self.version:
            self.version = version
            self.confirmed_s = at_s

    def learn_from(self, peers: Iterable[Member], now_s: float) -> None:
        """Adopt the confirmations of peers that have the same version."""
        for peer in peers:
            if peer.config_version == self.version:
                self.confirmed(peer.config_version, now_s - peer.confirmed_ago_s)

    def ago_s(self, now_s: float) -> float:
        """Return the seconds since the version was last known to be the newest."""
        return now_s - self.confirmed_s


def may_serve(
    confirmation: Confirmation, now_s: float, sees_majority: bool, peers: Iterable[Member]
) -> bool:
    """Return whether the node may serve under the version that it holds.

    Args:
      sees_majority: Whether this node reaches a majority of all nodes.
      peers: The other nodes that this one reaches.
    """
    if confirmation.version == 0:
        return False
    if confirmation.ago_s(now_s) <= STALE_S:
        return True
    peers = list(peers)
    behind = any(peer.config_version > confirmation.version for peer in peers)
    all_out = confirmation.table_out and all(peer.table_out for peer in peers)
    return sees_majority and all_out and not behind
