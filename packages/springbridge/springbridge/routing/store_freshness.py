"""Who reads the platform's store, and how a node knows that what it has is still the newest.

Decided: whether a node reads the configuration or the endpoint list from the store itself, or
relies on what its peers confirm.
Inputs: ranks among the live nodes, the ages of what this node and its peers have, in seconds.
Outcome: a few nodes, chosen by rendezvous hashing, read for all. The others read only when no peer
has confirmed their version for CONFIRMED_S, and then one after the other. Old data stays in use
while neither the store nor a peer has anything newer: a configuration without limit, endpoints as
endpoint_registry.py decides.
Why: each call to the store costs, answered or not, and the store limits the calls of all nodes
together. A silent store must not be asked by the whole fleet several times a second.
"""

from collections.abc import Iterable
from enum import Enum, auto

from springbridge.hashing import score
from springbridge.membership import SnapshotStatus

# Hash key of the ranking. All nodes of a fleet must use the same bytes, old versions included.
ROLE_KEY = "reader of the list of engines"
# Nodes that wait at the configuration feed; each more is a call that hangs there.
FEED_READERS = 5
# Nodes that read the endpoint list, which costs fewer calls than a read by each node.
SNAPSHOT_READERS = 2
# Age in seconds from which data that no peer confirmed counts as possibly old. Lower bound: a
# reader's pause and a heartbeat, or nodes read although readers work.
CONFIRMED_S = 1.1
# Seconds between two checks, by a node that does not read, whether it has to. Well below
# CONFIRMED_S, to which it adds, and as the interval of the heartbeats, whose wake-ups it shares.
LOOK_S = 0.25
# Seconds between the turns of two nodes that stand in for the readers. It bounds them to 12 tries a
# second in a fleet of any size.
TURN_S = 0.08
# Seconds for which a node that starts with the whole fleet asks its seeds before the store, which
# the fleet would ask all at once.
ASK_SEEDS_FIRST_S = 1.5
# Seconds after its start for which a node with seeds reads for itself only. Until digests have come
# it knows no other node and would take every role: of a fleet that starts together each node would
# wait at the feed and read the list for all. Two beats, in which a node learns of half of a fleet
# of hundreds.
ROLES_AFTER_S = 0.5
# Age in seconds of the endpoint list at which a node whose read failed asks any peer for a younger
# one. Above CONFIRMED_S, so that peers' digests get to confirm the list first.
ASK_PEERS_AFTER_S = 1.5
# Longest pause of a reader between two reads of the endpoint list, in seconds.
SNAPSHOT_INTERVAL_S = 0.5
# The same pause as a share of the time within which requests must stop reaching an endpoint that
# leaves. A removal is read early enough to spread and be acted on.
SNAPSHOT_SHARE_OF_DRAIN = 0.25
# Longest wait of one call at the configuration feed, in seconds. An idle reader costs four calls a
# minute.
FEED_WAIT_S = 15.0
# Pause in seconds before the configuration is read again after a feed call ended. To keep a reader
# from calling a store that fails at once more than four times a second.
FEED_RETRY_S = 0.25
# Oldest age in seconds that nodes tell their peers; it stands for "never confirmed".
OLDEST_AGE_S = 1e6

assert SNAPSHOT_READERS <= FEED_READERS, "the list's readers are the first of the feed's readers"
assert LOOK_S < CONFIRMED_S < ASK_PEERS_AFTER_S
assert SNAPSHOT_INTERVAL_S < CONFIRMED_S, "a working reader has to confirm in time"


class PeerSnapshot(Enum):
    """How the youngest endpoint list among the peers compares with this node's."""

    NO_HELP = auto()
    CONFIRMS = auto()
    DIFFERS = auto()


def rank(me: str, live: Iterable[str]) -> int:
    """Return how many live nodes come before this one as readers of the store.

    Rendezvous hashing gives the same order on every node, so the readers need no agreement, and
    the loss of one moves only its own role.

    Args:
      me: Incarnation of this node.
      live: Incarnations of the nodes that run and are not leaving.
    """
    own_score = score(ROLE_KEY, me)
    return sum(score(ROLE_KEY, name) > own_score for name in live if name != me)


def turn_s(own_rank: int, readers: int) -> float:
    """Return how long past CONFIRMED_S a node leaves the store to those before it, in seconds.

    The first node that the store answers confirms the version for the rest, whose turns then never
    come. Readers need no turn.
    """
    return TURN_S * max(0, own_rank - readers)


def round_s(live_nodes: int) -> float:
    """Return the time in which every live node has had one turn, in seconds.

    A node whose read failed waits that long, since the others may be able to reach the store.
    """
    return TURN_S * live_nodes


def is_confirmed(age_s: float) -> bool:
    """Return whether data counts as the newest, so many seconds after it last was known to be."""
    return age_s < CONFIRMED_S


def is_overdue(age_s: float, own_turn_s: float) -> bool:
    """Return whether data is unconfirmed for so long that this node's turn to read has come.

    Args:
      age_s: Seconds since the data was last known to be the newest.
      own_turn_s: Seconds that this node leaves to the nodes before it; see turn_s().
    """
    return age_s >= CONFIRMED_S + own_turn_s


def reads_configuration(age_s: float, own_turn_s: float, is_reader: bool) -> bool:
    """Return whether a node that has a configuration reads it from the store now.

    Args:
      age_s: Seconds since its version was last known to be the newest.
      is_reader: Whether it is among the FEED_READERS nodes that read for all.
    """
    return is_reader or is_overdue(age_s, own_turn_s)


def feed_pause_s(
    store_is_up: bool, has_configuration: bool, is_reader: bool, one_round_s: float
) -> float:
    """Return how long to wait after a feed call ended before the next read, in seconds.

    Only a node that can afford it waits for a round of all nodes: one that merely stands in for the
    readers, has a configuration to go on with, and could not reach the store.
    """
    if store_is_up or is_reader or not has_configuration:
        return FEED_RETRY_S
    return max(FEED_RETRY_S, one_round_s)


def snapshot_interval_s(drain_s: float) -> float:
    """Return the pause of a reader between two reads of the endpoint list, in seconds.

    Args:
      drain_s: Time within which requests must stop reaching an endpoint that leaves, in seconds.
    """
    return min(SNAPSHOT_INTERVAL_S, drain_s * SNAPSHOT_SHARE_OF_DRAIN)


def compare_with_peer(own: SnapshotStatus, youngest: SnapshotStatus | None) -> PeerSnapshot:
    """Return what the youngest list among the peers, if there is one, means for this node's list.

    A list that is unconfirmed itself, or no younger than this node's, proves nothing. One with the
    same fingerprint confirms this node's list, and any other has to be fetched.
    """
    if youngest is None or not is_confirmed(youngest.age_s) or youngest.age_s >= own.age_s:
        return PeerSnapshot.NO_HELP
    if youngest.fingerprint == own.fingerprint:
        return PeerSnapshot.CONFIRMS
    return PeerSnapshot.DIFFERS
