"""Store freshness: which instances read the platform's store, and when data counts as current.

Decides whether an instance reads the configuration or the endpoint list from the store itself, or
relies on confirmation by its peers.
Inputs: ranks among the live instances; the ages of this instance's and its peers' data in seconds.
A few instances, chosen by rendezvous hashing, read for all. The others read only when no peer has
confirmed their version for CONFIRMED_S, and then one after the other. Stale data stays in use while
neither the store nor a peer has anything newer: a configuration without limit, endpoints as
endpoint_registry.py decides.
Each call to the store costs, whether answered or not, and the store limits the calls of all
instances together. The whole fleet must not call an unresponsive store several times a second.
"""

from collections.abc import Iterable
from enum import Enum, auto

from springbridge.hashing import score
from springbridge.membership import SnapshotStatus

# Hash key of the ranking. All instances of a fleet, also of old versions, must use the same bytes.
ROLE_KEY = "reader of the list of engines"
# Instances that long-poll the configuration feed; each additional one is another pending call.
FEED_READERS = 5
# Instances that read the endpoint list; fewer calls than if each instance read it.
SNAPSHOT_READERS = 2
# Age in seconds from which data that no peer confirmed counts as possibly stale. It must exceed a
# reader's pause plus a heartbeat, or instances read although the readers work.
CONFIRMED_S = 1.1
# Seconds between two checks by an instance that is not a reader whether it has to read. Well below
# CONFIRMED_S, to which it adds, and equal to the heartbeat interval, whose wake-ups it shares.
CHECK_INTERVAL_S = 0.25
# Seconds between the turns of two instances that stand in for the readers. It limits them to 12
# attempts a second in a fleet of any size.
TURN_S = 0.08
# Seconds for which an instance asks its seeds before the store. When a whole fleet starts together,
# all instances would otherwise call the store at once.
ASK_SEEDS_FIRST_S = 1.5
# Seconds after its start for which an instance with seeds reads for itself only. Until it has
# received digests it knows no other instance and would take every role: in a fleet that starts
# together, each instance would poll the feed and read the list for all. It is two heartbeats, in
# which an instance learns of half of a fleet of hundreds.
ROLES_AFTER_S = 0.5
# Age in seconds of the endpoint list at which an instance whose read failed asks any peer for a
# fresher one. Above CONFIRMED_S, so that peers' digests can confirm the list first.
ASK_PEERS_AFTER_S = 1.5
# Longest pause of a reader between two reads of the endpoint list, in seconds.
SNAPSHOT_INTERVAL_S = 0.5
# Upper bound of the same pause as a share of the time within which requests must stop reaching a
# leaving endpoint. A removal is then read early enough to spread and take effect.
SNAPSHOT_SHARE_OF_DRAIN = 0.25
# Longest long poll of the configuration feed in seconds. An idle reader makes four calls a minute.
FEED_WAIT_S = 15.0
# Pause in seconds before the configuration is read again after a feed call ended. It limits the
# calls of a reader to a store that fails immediately to four a second.
FEED_RETRY_S = 0.25
# Largest age in seconds that instances report to peers; it stands for "never confirmed".
OLDEST_AGE_S = 1e6

assert SNAPSHOT_READERS <= FEED_READERS, "the list's readers are the first of the feed's readers"
assert CHECK_INTERVAL_S < CONFIRMED_S < ASK_PEERS_AFTER_S
assert SNAPSHOT_INTERVAL_S < CONFIRMED_S, "a working reader has to confirm in time"


class SnapshotComparison(Enum):
    """How the freshest endpoint list among the peers compares with this instance's list.

    NO_HELP: it proves nothing. CONFIRMS: this instance's list is current. DIFFERS: the peer's list
    has to be fetched.
    """

    NO_HELP = auto()
    CONFIRMS = auto()
    DIFFERS = auto()


def rank(own_incarnation: str, live: Iterable[str]) -> int:
    """Return how many live instances rank before this one as readers of the store.

    Rendezvous hashing gives the same order on every instance, so the readers need no agreement, and
    the loss of one moves only its own role.

    Args:
      own_incarnation: Incarnation of this instance.
      live: Incarnations of the instances that are running and not leaving.
    """
    own_score = score(ROLE_KEY, own_incarnation)
    return sum(score(ROLE_KEY, name) > own_score for name in live if name != own_incarnation)


def turn_s(own_rank: int, readers: int) -> float:
    """Return how many seconds after CONFIRMED_S an instance waits for those that rank before it.

    The first instance that the store answers confirms the version for the rest, which then need not
    read at all. Readers have no delay.
    """
    return TURN_S * max(0, own_rank - readers)


def round_s(live_nodes: int) -> float:
    """Return the time in which every live instance has had one turn, in seconds.

    An instance whose read failed waits that long, since others may be able to reach the store.
    """
    return TURN_S * live_nodes


def is_confirmed(age_s: float) -> bool:
    """Return whether data counts as current, given the seconds since it was last confirmed."""
    return age_s < CONFIRMED_S


def is_overdue(age_s: float, own_turn_s: float) -> bool:
    """Return whether data has been unconfirmed until this instance's turn to read it.

    Args:
      age_s: Seconds since the data was last confirmed as the newest.
      own_turn_s: Delay in favour of the instances that rank before this one; see turn_s().
    """
    return age_s >= CONFIRMED_S + own_turn_s


def reads_configuration(age_s: float, own_turn_s: float, is_reader: bool) -> bool:
    """Return whether an instance that has a configuration reads it from the store now.

    Args:
      age_s: Seconds since its version was last confirmed as the newest.
      own_turn_s: See is_overdue().
      is_reader: Whether it is among the FEED_READERS instances that read for all.
    """
    return is_reader or is_overdue(age_s, own_turn_s)


def feed_pause_s(
    store_is_up: bool, has_configuration: bool, is_reader: bool, one_round_s: float
) -> float:
    """Return how long to wait after a feed call ended before the next read, in seconds.

    An instance waits for a round of all instances only if it merely stands in for the readers, has
    a configuration to use meanwhile, and could not reach the store.
    """
    if store_is_up or is_reader or not has_configuration:
        return FEED_RETRY_S
    return max(FEED_RETRY_S, one_round_s)


def snapshot_interval_s(drain_s: float) -> float:
    """Return the pause of a reader between two reads of the endpoint list, in seconds.

    Args:
      drain_s: Time within which requests must stop reaching a leaving endpoint, in seconds.
    """
    return min(SNAPSHOT_INTERVAL_S, drain_s * SNAPSHOT_SHARE_OF_DRAIN)


def compare_with_peer(own: SnapshotStatus, youngest: SnapshotStatus | None) -> SnapshotComparison:
    """Return what the freshest list among the peers, if any, means for this instance's list.

    A list that is itself unconfirmed, or no fresher than this instance's, proves nothing. One with
    the same fingerprint confirms this instance's list, and any other has to be fetched.
    """
    if youngest is None or not is_confirmed(youngest.age_s) or youngest.age_s >= own.age_s:
        return SnapshotComparison.NO_HELP
    if youngest.fingerprint == own.fingerprint:
        return SnapshotComparison.CONFIRMS
    return SnapshotComparison.DIFFERS
