"""Leader lease for duties that only one instance may do at a time, with a fencing token.

Decides whether an instance renews, takes, hands on or leaves alone the lease, and for how long it
may act under it. Inputs are the row of the lease in the platform's store with its stamp, the moment
at which this instance first saw that stamp, its rank among the candidates, and the tenure that it
holds. The results are a Step, and a Tenure for the holder.

Only the holders check the fencing token, so two holders at a time have to be prevented by each
instance's own clock. A holder counts its tenure from before it sent its last renewal, not from the
answer. A candidate counts from when it first saw the current row, which is later, and takes the
lease one full lease length after that at the earliest. The store writes a row only if its stamp is
the one that the writer has seen (compare-and-swap), so that one of several candidates wins.

The fencing token is the stamp of the write that took the lease. Stamps only rise and are never
reused, even if the store is restored from an older copy (store_stamp.py). After such a restore
every row counts as just seen, and an earlier tenure ends.
"""

import math
from dataclasses import dataclass, replace
from enum import Enum, auto

from springbridge.store_stamp import era_of

# Shortest duration of a lease, in seconds.
MIN_LEASE_S = 3.0
# Seconds by which a tenure ends before its lease does. It covers the network delay of a call that
# was sent at the last moment, and clocks that run at slightly different rates.
SAFETY_MARGIN_S = 0.2
# Number of renewals within the duration of a lease, so that one may be lost.
RENEWALS_PER_LEASE = 3
# Share of the lease duration after which a lease that was handed on may be taken. Two such changes
# of holder take one full duration, so that an instance which gets the lease back does not act again
# too early.
HANDED_ON_SHARE = 0.5
# Delay in seconds per rank, so that the higher-ranked candidate takes the lease first.
RANK_DELAY_S = 0.5
# Number of instances that watch the row of a lease: the highest-ranked ones.
CANDIDATES = 3


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row of a lease.

    Attributes:
      holder: Name of the instance that holds the lease.
      incarnation: Identifies the run of its process.
      handed_on: Whether that run has released the lease.
      content: State that the holder stores for its successors.
      era: Era of the store in which the row was written.
    """

    holder: str
    incarnation: str
    handed_on: bool
    content: bytes
    era: int = 0


@dataclass(frozen=True, slots=True)
class LeaseReading:
    """The store's answer to a read of a lease.

    Attributes:
      stamp: Stamp of the row; only the era if there is no row.
      row: The row, or None if there is none.
      store_s: Time of the answer on the store's monotonic clock.
    """

    stamp: int
    row: LeaseRow | None
    store_s: float


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """The latest reading, and when this instance first saw the row with that stamp."""

    reading: LeaseReading
    since_s: float


@dataclass(frozen=True, slots=True)
class Tenure:
    """The lease as its holder knows it.

    Attributes:
      token: Fencing token of all calls made under it.
      stamp: Stamp of the row as the holder last wrote it.
      until_s: When the holder must stop acting unless it renews.
    """

    token: int
    stamp: int
    until_s: float

    def allows(self, now_s: float, call_s: float) -> bool:
        """Return whether a call that takes at most `call_s` seconds may be sent now."""
        return now_s + call_s <= self.until_s


@dataclass(frozen=True, slots=True)
class Takeover:
    """How an instance took a lease.

    Attributes:
      before: The reading before the takeover, but with the time of the write as store_s.
      first_seen_s: When it first saw the row of that reading.
      at_s: When it received the store's answer to the write.
      exclusive_until_s: Until when nobody else can have taken the lease after the previous tenure
        of this run; minus infinity if it had none, or has handed it on.
    """

    before: LeaseReading
    first_seen_s: float
    at_s: float
    exclusive_until_s: float = -math.inf

    @property
    def era(self) -> int:
        """Return the era of the store in which the lease was taken."""
        return era_of(self.before.stamp)

    @property
    def is_uninterrupted(self) -> bool:
        """Return whether this run held the lease before and nobody else can have held it since."""
        return self.first_seen_s <= self.exclusive_until_s


class Step(Enum):
    """The next action of an instance on a lease."""

    WAIT = auto()
    READ = auto()
    TAKE = auto()
    RENEW = auto()
    HAND_ON = auto()


def lease_length_s(no_return_s: float) -> float:
    """Return the duration of a lease in seconds.

    Args:
      no_return_s: Seconds within which a former holder must not get the lease back.
    """
    return max(MIN_LEASE_S, no_return_s)


def renewal_interval_s(lease_s: float) -> float:
    """Return the seconds between two renewals, and between two checks by a candidate."""
    return lease_s / RENEWALS_PER_LEASE


def observe(before: ObservedLease | None, reading: LeaseReading, now_s: float) -> ObservedLease:
    """Return the observation after a reading; with an unchanged stamp it keeps since_s."""
    if before is not None and before.reading.stamp == reading.stamp:
        return ObservedLease(reading, before.since_s)
    return ObservedLease(reading, now_s)


def holder_step(tenure: Tenure, now_s: float, *, is_candidate: bool) -> Step:
    """Return the next action of the holder."""
    if now_s > tenure.until_s:
        return Step.READ
    return Step.RENEW if is_candidate else Step.HAND_ON


def candidate_step(sight: ObservedLease | None, now_s: float, lease_s: float, rank: int) -> Step:
    """Return the next action of an instance that does not hold the lease.

    Args:
      sight: The row as this instance last saw it, None before its first reading.
      now_s: The current time.
      lease_s: Duration of the lease.
      rank: Number of candidates ranked above this instance.
    """
    if rank >= CANDIDATES:
        return Step.WAIT
    if sight is None:
        return Step.READ
    return (
        Step.TAKE if now_s >= available_from_s(sight, lease_s) + rank * RANK_DELAY_S else Step.READ
    )


def available_from_s(sight: ObservedLease, lease_s: float) -> float:
    """Return the time from which a lease may be taken if its row does not change."""
    if _was_never_held(sight.reading):
        return sight.since_s
    share = HANDED_ON_SHARE if _was_handed_on(sight.reading) else 1.0
    return sight.since_s + share * lease_s


def _was_never_held(reading: LeaseReading) -> bool:
    """Return whether the lease was never held.

    Rows of leases are never removed, so only a restore of the store from an older copy can lose
    one, and that starts a new era.
    """
    return reading.row is None and era_of(reading.stamp) == 0


def _was_handed_on(reading: LeaseReading) -> bool:
    """Return whether the last holder has released the lease.

    A row of an earlier era cannot show it: a later holder's write may be missing from the copy.
    """
    row = reading.row
    return row is not None and row.handed_on and row.era == era_of(reading.stamp)


def new_tenure(stamp: int, sent_s: float, lease_s: float) -> Tenure:
    """Return the tenure of an instance whose write took the lease.

    Args:
      stamp: Stamp of the write.
      sent_s: When the write was sent.
      lease_s: Duration of the lease.
    """
    return Tenure(token=stamp, stamp=stamp, until_s=sent_s + lease_s - SAFETY_MARGIN_S)


def renewed_tenure(tenure: Tenure, stamp: int, sent_s: float, lease_s: float) -> Tenure:
    """Return the tenure after a renewal that the store acknowledged."""
    return replace(tenure, stamp=stamp, until_s=sent_s + lease_s - SAFETY_MARGIN_S)


def after_refused_renewal(tenure: Tenure, reading: LeaseReading, incarnation: str) -> Tenure | None:
    """Return the tenure after the store refused a renewal, or None if the lease is lost.

    If an earlier renewal took effect although its answer was lost, the row is still this run's own.
    Its stamp is then used for the next renewal; this does not extend the tenure.
    """
    row = reading.row
    if row is None or row.incarnation != incarnation or row.handed_on:
        return None
    return replace(tenure, stamp=reading.stamp)
