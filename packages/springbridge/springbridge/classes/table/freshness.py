"""May this node serve under the table it holds? Written decision: docs/design/configuration.md.

An accepted change has to be in force on every node that serves, within IN_FORCE_S. A node serves if
it knows that its version was the newest at most STALE_S ago, by its own read of the platform's
table or through a peer that read it. While the table is out for everybody, nobody can accept a
change; then a node serves if it hears from a majority of all nodes and all of those find the
table out too. A change is accepted only by a node that reaches the table and hears from a
majority, and two majorities share a node, through which the change reaches those that lack the
table.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from springbridge.membership import Member

IN_FORCE_S = 4.0
STALE_S = 3.0


@dataclass
class Confirmation:
    """When this node's version was last known to be the newest, on this node's clock."""

    version: int = 0
    confirmed_s: float = -1e9
    table_out: bool = True

    def confirmed(self, version: int, at_s: float) -> None:
        """Note that a version was the newest at a time."""
        if version == self.version:
            self.confirmed_s = max(self.confirmed_s, at_s)
        elif version > self.version:
            self.version = version
            self.confirmed_s = at_s

    def learn_from(self, peers: Iterable[Member], now_s: float) -> None:
        """Take over the confirmation of a peer that has the same version."""
        for peer in peers:
            if peer.config_version == self.version:
                self.confirmed(peer.config_version, now_s - peer.confirmed_ago_s)

    def ago_s(self, now_s: float) -> float:
        """Return how long ago the version was known to be the newest."""
        return now_s - self.confirmed_s


def may_serve(
    confirmation: Confirmation, now_s: float, sees_majority: bool, peers: Iterable[Member]
) -> bool:
    """Return whether the node may serve under the version that it holds."""
    if confirmation.version == 0:
        return False
    peers = list(peers)
    if any(peer.config_version > confirmation.version for peer in peers):
        return confirmation.ago_s(now_s) <= STALE_S
    if confirmation.ago_s(now_s) <= STALE_S:
        return True
    all_out = confirmation.table_out and all(peer.table_out for peer in peers)
    return sees_majority and all_out
