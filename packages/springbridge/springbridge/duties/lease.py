"""Which instance does a duty that only one may do at a time.

Decided: whether an instance renews, takes, hands on or leaves alone the lease of a duty, and for
how long it may act under it.
Inputs: the row of the lease in the platform's store with its stamp, the moment at which this
instance first saw that stamp, its rank among the candidates, and what it holds.
Outcome: a Step; and a Tenure for the holder.
Why: nobody but the holders checks the fencing token, so that each holder's own clock has to keep
two of them apart. A holder counts its tenure from before its last renewal was sent, whatever became
of the answer. A candidate counts from when it first saw the row as it is, which is later, and takes
the lease a whole length after that at the earliest. The store writes a row only under the stamp
that the writer has seen, so that one of several candidates wins.

The fencing token is the stamp at which the lease was taken: stamps only rise and none is given
twice, also where the store comes back from an older copy (store_stamp.py). After such a return
every row counts as just seen, and a tenure of before ends.
"""

import math
from dataclasses import dataclass, replace
from enum import Enum, auto

from springbridge.store_stamp import era_of

# Shortest length of a lease, in seconds.
LEAST_LENGTH_S = 3.0
# Seconds by which a tenure ends before its lease does. It covers the way of a call that was sent in
# the last moment, and clocks that run at slightly different speeds.
MARGIN_S = 0.2
# Renewals in one length of a lease, so that one may be lost.
RENEWALS = 3
# Share of the length after which a lease that was handed on may be taken. Two such changes of
# holder take as long as one lease, so that an instance which gets it back does not act too early
# again.
HANDED_ON_SHARE = 0.5
# Seconds that a candidate leaves to the one before it in the ranking.
TURN_S = 0.5
# Instances that follow the row of a lease, the first of the ranking.
CANDIDATES = 3


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row of a lease.

    Attributes:
      holder: Name of the instance.
      incarnation: Which run of its process holds the lease.
      handed_on: Whether that run has given the lease up.
      content: What the holder keeps for its successors.
      era: Era of the store in which the row was written.
    """

    holder: str
    incarnation: str
    handed_on: bool
    content: bytes
    era: int = 0


@dataclass(frozen=True, slots=True)
class LeaseReading:
    """What the store answered about a lease.

    Attributes:
      stamp: Stamp of the row; the era alone if there is no row.
      row: The row, or None if there is none.
      store_s: Moment of the answer on the store's steady clock.
    """

    stamp: int
    row: LeaseRow | None
    store_s: float


@dataclass(frozen=True, slots=True)
class Sight:
    """A reading, and when this instance first saw the row with that stamp."""

    reading: LeaseReading
    since_s: float


@dataclass(frozen=True, slots=True)
class Tenure:
    """The lease as its holder knows it.

    Attributes:
      token: Fencing token of all calls under it.
      stamp: Stamp of the row as the holder last wrote it.
      until_s: When the holder stops to act unless it renews.
    """

    token: int
    stamp: int
    until_s: float

    def allows(self, now_s: float, call_s: float) -> bool:
        """Return whether a call that takes so many seconds at most may be sent now."""
        return now_s + call_s <= self.until_s


@dataclass(frozen=True, slots=True)
class Takeover:
    """How an instance took a lease.

    Attributes:
      before: The reading that it waited under; store_s is the moment of the write.
      seen_s: When it first saw the row as it was.
      at_s: Moment of the store's answer.
      alone_until_s: Until when nobody else can have taken the lease after the tenure that this run
        had before; minus infinity if it had none, or has handed it on.
    """

    before: LeaseReading
    seen_s: float
    at_s: float
    alone_until_s: float = -math.inf

    @property
    def era(self) -> int:
        """Return the era of the store in which the lease was taken."""
        return era_of(self.before.stamp)

    @property
    def follows_itself(self) -> bool:
        """Return whether nobody else can have held the lease since this run did."""
        return self.seen_s <= self.alone_until_s


class Step(Enum):
    """What an instance does about a lease now."""

    WAIT = auto()
    READ = auto()
    TAKE = auto()
    RENEW = auto()
    HAND_ON = auto()


def length_s(no_return_s: float) -> float:
    """Return the length of a lease.

    Args:
      no_return_s: Seconds within which a holder must not get a lease back.
    """
    return max(LEAST_LENGTH_S, no_return_s)


def renewal_s(lease_s: float) -> float:
    """Return the pause between two renewals, and between two looks of a candidate."""
    return lease_s / RENEWALS


def seen(before: Sight | None, reading: LeaseReading, now_s: float) -> Sight:
    """Return the sight after a reading; the same stamp keeps the moment at which it was new."""
    if before is not None and before.reading.stamp == reading.stamp:
        return Sight(reading, before.since_s)
    return Sight(reading, now_s)


def holder_step(tenure: Tenure, now_s: float, *, is_candidate: bool) -> Step:
    """Return what the holder does at a look."""
    if now_s > tenure.until_s:
        return Step.READ
    return Step.RENEW if is_candidate else Step.HAND_ON


def candidate_step(sight: Sight | None, now_s: float, lease_s: float, rank: int) -> Step:
    """Return what an instance that does not hold the lease does at a look.

    Args:
      rank: Candidates before this instance.
    """
    if rank >= CANDIDATES:
        return Step.WAIT
    if sight is None:
        return Step.READ
    return Step.TAKE if now_s >= free_from_s(sight, lease_s) + rank * TURN_S else Step.READ


def free_from_s(sight: Sight, lease_s: float) -> float:
    """Return the moment from which a lease may be taken if its row stays as it is."""
    if _was_never_held(sight.reading):
        return sight.since_s
    share = HANDED_ON_SHARE if _was_handed_on(sight.reading) else 1.0
    return sight.since_s + share * lease_s


def _was_never_held(reading: LeaseReading) -> bool:
    """Return whether nobody has held the lease before.

    Rows of leases are not removed, so that only a return from an older copy could have lost one.
    """
    return reading.row is None and era_of(reading.stamp) == 0


def _was_handed_on(reading: LeaseReading) -> bool:
    """Return whether the last holder has given the lease up.

    A row of an earlier era does not tell: its copy is older than what a later holder wrote.
    """
    row = reading.row
    return row is not None and row.handed_on and row.era == era_of(reading.stamp)


def taken(stamp: int, sent_s: float, lease_s: float) -> Tenure:
    """Return the tenure of an instance whose write took the lease.

    Args:
      stamp: Stamp of the write.
      sent_s: When it was sent.
    """
    return Tenure(token=stamp, stamp=stamp, until_s=sent_s + lease_s - MARGIN_S)


def renewed(tenure: Tenure, stamp: int, sent_s: float, lease_s: float) -> Tenure:
    """Return the tenure after a renewal that the store acknowledged."""
    return replace(tenure, stamp=stamp, until_s=sent_s + lease_s - MARGIN_S)


def found_own(tenure: Tenure, reading: LeaseReading, incarnation: str) -> Tenure | None:
    """Return the tenure after the store refused a renewal, or None if the lease is lost.

    An earlier renewal may have taken effect though its answer was lost: the row is this run's own
    then. Its stamp is used for the next renewal; the tenure is no longer for that.
    """
    row = reading.row
    if row is None or row.incarnation != incarnation or row.handed_on:
        return None
    return replace(tenure, stamp=reading.stamp)
