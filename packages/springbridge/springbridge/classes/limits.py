"""Limits and leases: may this node start one more request of a customer and class now?

Decided: whether a request starts, so that rate (starts a second) and concurrency (requests running
at a time) hold for the sum of all nodes. Inputs: the share's limits, the number of live nodes and a
monotonic time in seconds. Outcome: the request starts, or a refusal names the limit it ran into and
the seconds after which to come back.

How: one node owns a limit (rendezvous hashing over the live nodes) and leases starts and
concurrency to the others, so that an entry node admits without asking. While the owner cannot be
reached, or is so new that leases of the former owner may still be running, each node admits its
equal part.

Error of the sum: at a change of owner, the leases outstanding (LEASE_S of the rate) and the bursts
of the equal parts and of the new owner's bucket (1.25 BURST_S of the rate); for concurrency, the
equal parts are rounded up. Otherwise the sum stays within the limit and one burst. limits_test.py
holds four nodes to this. Other ways that were weighed: docs/design/limits.md.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

from springbridge.classes import retry_times
from springbridge.classes.entities import Share
from springbridge.codes import Code
from springbridge.problems import Problem

# How long a lease counts. It bounds the error at a change of owner to one second of the rate, and
# the concurrency that a silent node keeps from the others to one second.
LEASE_S = 1.0
# Seconds of the rate that may start at once. One second, which is the only error of the sum while
# the owner stays the same.
BURST_S = 1.0
# What the bucket of a new owner holds, in seconds of the rate. The former owner may have spent the
# burst, and the equal parts have one as well. The quarter is part of the stated error.
UNSETTLED_BURST_S = BURST_S / 4
# How long a new owner leaves the nodes to their equal parts. Derived: longer than any lease of the
# former owner.
OWNER_GRACE_S = 1.5 * LEASE_S

# Share of the last request in the mean time that requests run. About ten requests set it.
DURATION_WEIGHT = 0.2

assert OWNER_GRACE_S > LEASE_S, "a new owner must outwait the leases of the former one"


@dataclass(frozen=True)
class LeaseRequest:
    """A node asks the owner of a limit for a lease.

    Attributes:
      node: Incarnation of the node that asks.
      starts: Request starts that the node expects to need during the lease.
      in_use: Requests that the node has running.
      wanted: Requests that the node expects to have running, those in use included.
    """

    node: str
    customer: str
    request_class: str
    starts: int
    in_use: int
    wanted: int


@dataclass(frozen=True)
class Lease:
    """What the owner allows a node for LEASE_S.

    Attributes:
      starts: Requests that the node may start.
      concurrency: Requests that the node may have running at a time.
      retry_after_s: When the bucket will hold a start again; 0 where it holds one.
      settled: False while the owner is new and the node has to keep to its equal part.
    """

    customer: str
    request_class: str
    starts: int
    concurrency: int
    retry_after_s: float
    settled: bool = True


@dataclass
class OwnedLimit:
    """Owner's side of one limit.

    Attributes:
      tokens: Request starts in the bucket.
      refilled_s: When the bucket was last filled.
      since_s: When this node became the owner.
      concurrency: Requests that each node may have running, by incarnation.
      expires_s: When the lease of each node ends, by incarnation.
    """

    share: Share
    tokens: float
    refilled_s: float
    since_s: float
    concurrency: dict[str, int] = field(default_factory=dict)
    expires_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_share(cls, share: Share, now_s: float) -> "OwnedLimit":
        """Start with little in the bucket, since the former owner may have spent the burst."""
        tokens = max(1.0, share.rate_per_s * UNSETTLED_BURST_S)
        return cls(share, tokens, now_s, now_s)

    def lease(self, request: LeaseRequest, now_s: float, nodes: int) -> Lease:
        """Return the lease for a lease request.

        Args:
          nodes: Live nodes; a single one has no former owner to wait for.
        """
        settled = now_s - self.since_s >= OWNER_GRACE_S or nodes == 1
        self._refill(now_s, settled)
        self._drop_expired(now_s)
        concurrency = self._lease_concurrency(request, now_s)
        starts = min(request.starts, int(self.tokens)) if settled else 0
        self.tokens -= starts
        retry_s = max(0.0, 1.0 - self.tokens) / self.share.rate_per_s
        return Lease(request.customer, request.request_class, starts, concurrency, retry_s, settled)

    def _refill(self, now_s: float, settled: bool) -> None:
        """Fill the bucket; only to a part while the nodes still admit their equal parts."""
        burst_s = BURST_S if settled else UNSETTLED_BURST_S
        burst = max(1.0, self.share.rate_per_s * burst_s)
        grown = self.tokens + (now_s - self.refilled_s) * self.share.rate_per_s
        self.tokens = min(burst, grown)
        self.refilled_s = now_s

    def _drop_expired(self, now_s: float) -> None:
        for node in [node for node, end_s in self.expires_s.items() if end_s <= now_s]:
            del self.expires_s[node]
            del self.concurrency[node]

    def _lease_concurrency(self, request: LeaseRequest, now_s: float) -> int:
        """Return how many requests a node may run: those it runs already, more only if free."""
        others = sum(leased for node, leased in self.concurrency.items() if node != request.node)
        free = max(0, self.share.concurrency - others)
        leased = max(request.in_use, min(request.wanted, free))
        self.concurrency[request.node] = leased
        self.expires_s[request.node] = now_s + LEASE_S
        return leased


@dataclass
class NodeLimit:
    """Entry node's side of one limit.

    Attributes:
      starts: Request starts that are left.
      concurrency: Requests that may run here at a time.
      in_use: Requests that run here.
      valid_until_s: When the lease or the equal part ends.
      uses_equal_part: Whether the node admits its equal part, without a lease.
      refilled_s: When the equal part was last filled.
      retry_after_s: When the rate will allow a start again.
      demand: Requests that asked to start since the last lease request to the owner.
      mean_duration_s: How long requests run, weighted to the last ones; 0 until one has ended here.
    """

    share: Share
    starts: float = 0.0
    concurrency: int = 0
    in_use: int = 0
    valid_until_s: float = 0.0
    uses_equal_part: bool = False
    refilled_s: float = 0.0
    retry_after_s: float = retry_times.SHORTEST_S
    demand: int = 0
    mean_duration_s: float = 0.0

    def try_start(self, now_s: float) -> bool:
        """Start one request if the lease or the equal part allows it; finish() has to follow."""
        if now_s >= self.valid_until_s:
            return False
        if self.starts < 1 or self.in_use >= self.concurrency:
            return False
        self.starts -= 1
        self.in_use += 1
        return True

    def count_demand(self) -> None:
        """Count a request that asks to start, for the next lease request to the owner."""
        self.demand += 1

    def finish(self) -> None:
        """Note that a request which started here has ended."""
        self.in_use -= 1

    def record_duration(self, duration_s: float) -> None:
        """Note for how many seconds a request ran that has ended."""
        if self.mean_duration_s:
            self.mean_duration_s += DURATION_WEIGHT * (duration_s - self.mean_duration_s)
        else:
            self.mean_duration_s = duration_s

    def refusal(self) -> Problem:
        """Return the problem of a request that could not start: which limit, when to come back.

        One that ran into the concurrency may come back when the next of the running requests is
        likely to have ended.
        """
        source = f"{self.share.customer}/{self.share.request_class}"
        if self.starts < 1:
            retry_after_s = max(retry_times.SHORTEST_S, self.retry_after_s)
            return Problem(Code.RATE_LIMITED, source=source, retry_after_s=retry_after_s)
        next_end_s = self.mean_duration_s / max(1, self.in_use)
        retry_after_s = retry_times.after_wait(max(self.retry_after_s, next_end_s))
        return Problem(Code.CONCURRENCY_LIMITED, source=source, retry_after_s=retry_after_s)

    def lease_request(self, node: str) -> LeaseRequest:
        """Return what to ask the owner for, from the demand since the last lease request."""
        starts = self.demand
        self.demand = 0
        wanted = self.in_use + starts
        return LeaseRequest(
            node, self.share.customer, self.share.request_class, starts, self.in_use, wanted
        )

    def take(self, lease: Lease, now_s: float, nodes: int) -> None:
        """Use the owner's lease; starts left over from a lease that still counts are kept."""
        if not lease.settled:
            self.fall_back(now_s, nodes)
            return
        kept = self.starts if now_s < self.valid_until_s and not self.uses_equal_part else 0.0
        self.uses_equal_part = False
        self.starts = kept + lease.starts
        self.concurrency = lease.concurrency
        self.retry_after_s = lease.retry_after_s
        self.valid_until_s = now_s + LEASE_S

    def fall_back(self, now_s: float, nodes: int) -> None:
        """Admit this node's equal part, since the owner cannot be asked."""
        rate = self.share.rate_per_s / nodes
        burst = max(1.0, rate * BURST_S)
        if not self.uses_equal_part:
            self.uses_equal_part = True
            self.starts = burst
            self.refilled_s = now_s
        grown = self.starts + (now_s - self.refilled_s) * rate
        self.starts = min(burst, grown)
        self.refilled_s = now_s
        self.concurrency = ceil(self.share.concurrency / nodes)
        self.retry_after_s = 1.0 / rate
        self.valid_until_s = now_s + LEASE_S


class LimitOwner:
    """All limits that this node owns."""

    def __init__(self, clock: Callable[[], float]):
        """Keep the clock, a monotonic time in seconds."""
        self._clock = clock
        self._owned: dict[tuple[str, str], OwnedLimit] = {}

    def lease(self, request: LeaseRequest, share: Share, nodes: int) -> Lease:
        """Answer a node's lease request under the share that is in force."""
        now_s = self._clock()
        key = (request.customer, request.request_class)
        owned = self._owned.get(key)
        if owned is None:
            owned = self._owned[key] = OwnedLimit.from_share(share, now_s)
        owned.share = share
        return owned.lease(request, now_s, nodes)

    def keep_only(self, owned: Callable[[str, str], bool]) -> None:
        """Forget the limits that other nodes own now."""
        self._owned = {key: limit for key, limit in self._owned.items() if owned(*key)}
