"""Rate and concurrency limits that hold over all nodes, by leases from one owner for each limit.

Decides whether this node may start one more request of a customer and class now, so that the rate
(starts per second) and the concurrency (requests running at a time) hold for the sum of all nodes.
Inputs: the limits of the share, the number of live nodes and a monotonic time in seconds.
Result: the request starts, or a Problem names the limit that was reached and the seconds after
which to retry.

One node owns a limit (by rendezvous hashing over the live nodes) and leases starts and concurrency
to the others, so that an entry node admits most requests without a message. While the owner cannot
be reached, or is so new that leases of the former owner may still be valid, each node admits an
equal part of the limit.

Error of the sum: at a change of owner, the leases outstanding (LEASE_S of the rate) and the bursts
of the equal parts and of the new owner's bucket (1.25 BURST_S of the rate); for concurrency, the
equal parts are rounded up. Otherwise the sum stays within the limit and one burst. limits_test.py
checks this with four nodes. Alternatives are discussed in docs/design/limits.md.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

from springbridge.classes import retry_times
from springbridge.classes.entities import Share
from springbridge.codes import Code
from springbridge.problems import Problem

# Validity of a lease. It bounds the error at a change of owner to one second of the rate, and the
# time for which an unreachable node's concurrency is unavailable to the others to one second.
LEASE_S = 1.0
# Capacity of the token bucket, in seconds of the rate. While the owner stays the same, this one
# second is the only error of the sum.
BURST_S = 1.0
# Capacity of a new owner's token bucket, in seconds of the rate. It is small because the former
# owner may have spent the burst, and the nodes' equal parts have a burst as well. The quarter is
# part of the error stated above.
UNSETTLED_BURST_S = BURST_S / 4
# How long a new owner makes the nodes keep to their equal parts. Longer than any lease of the
# former owner.
OWNER_GRACE_S = 1.5 * LEASE_S

# Weight of the newest request in the mean duration, which so covers about the last ten requests.
DURATION_WEIGHT = 0.2

assert OWNER_GRACE_S > LEASE_S, "a new owner must wait until the former owner's leases have expired"


@dataclass(frozen=True)
class LeaseRequest:
    """A node's request for a lease, sent to the owner of a limit.

    Attributes:
      node: Incarnation of the requesting node.
      starts: Request starts that the node expects to need during the lease.
      in_use: Requests that are running on the node.
      wanted: Requests that the node expects to run at a time, those in use included.
    """

    node: str
    customer: str
    request_class: str
    starts: int
    in_use: int
    wanted: int


@dataclass(frozen=True)
class Lease:
    """The owner's grant to a node, valid for LEASE_S.

    Attributes:
      starts: Requests that the node may start.
      concurrency: Requests that may run on the node at a time.
      retry_after_s: Seconds until the token bucket holds a start again; 0 if it holds one.
      settled: False while the owner is new and the node must keep to its equal part.
    """

    customer: str
    request_class: str
    starts: int
    concurrency: int
    retry_after_s: float
    settled: bool = True


@dataclass
class OwnedLimit:
    """One limit, as its owner accounts for it.

    Attributes:
      tokens: Request starts in the token bucket.
      refilled_s: When the bucket was last refilled.
      since_s: When this node became the owner.
      concurrency: Leased concurrency of each node, by incarnation.
      expires_s: When each node's lease expires, by incarnation.
    """

    share: Share
    tokens: float
    refilled_s: float
    since_s: float
    concurrency: dict[str, int] = field(default_factory=dict)
    expires_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_share(cls, share: Share, now_s: float) -> "OwnedLimit":
        """Start with a nearly empty bucket, since the former owner may have spent the burst."""
        tokens = max(1.0, share.rate_per_s * UNSETTLED_BURST_S)
        return cls(share, tokens, now_s, now_s)

    def lease(self, request: LeaseRequest, now_s: float, nodes: int) -> Lease:
        """Grant a lease and take its starts from the bucket.

        Args:
          nodes: Number of live nodes; with a single one there is no former owner to wait for.
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
        """Refill the bucket; up to less while the nodes still admit their equal parts."""
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
        """Lease a node the requests that it runs already, and more only if the limit has room."""
        others = sum(leased for node, leased in self.concurrency.items() if node != request.node)
        free = max(0, self.share.concurrency - others)
        leased = max(request.in_use, min(request.wanted, free))
        self.concurrency[request.node] = leased
        self.expires_s[request.node] = now_s + LEASE_S
        return leased


@dataclass
class NodeLimit:
    """One limit, as an entry node applies it.

    Attributes:
      starts: Request starts that are left of the lease or equal part.
      concurrency: Requests that may run here at a time.
      in_use: Requests that run here.
      valid_until_s: When the lease or the equal part expires.
      uses_equal_part: Whether the node admits its equal part of the limit, without a lease.
      refilled_s: When the bucket of the equal part was last refilled.
      retry_after_s: Seconds until the rate allows a start again.
      demand: Requests that arrived since the last lease request to the owner.
      mean_duration_s: Exponentially weighted mean duration of requests; 0 until one has ended here.
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
        """Start one request if the lease or the equal part allows it; finish() must follow."""
        if now_s >= self.valid_until_s:
            return False
        if self.starts < 1 or self.in_use >= self.concurrency:
            return False
        self.starts -= 1
        self.in_use += 1
        return True

    def count_demand(self) -> None:
        """Count an arriving request, for the next lease request to the owner."""
        self.demand += 1

    def finish(self) -> None:
        """Record that a request which started here has ended."""
        self.in_use -= 1

    def record_duration(self, duration_s: float) -> None:
        """Add the duration of an ended request, in seconds, to the mean."""
        if self.mean_duration_s:
            self.mean_duration_s += DURATION_WEIGHT * (duration_s - self.mean_duration_s)
        else:
            self.mean_duration_s = duration_s

    def refusal(self) -> Problem:
        """Return the Problem of a request that could not start: the limit and when to retry.

        At the concurrency limit that is when the next running request is expected to end.
        """
        source = f"{self.share.customer}/{self.share.request_class}"
        if self.starts < 1:
            retry_after_s = max(retry_times.SHORTEST_S, self.retry_after_s)
            return Problem(Code.RATE_LIMITED, source=source, retry_after_s=retry_after_s)
        next_end_s = self.mean_duration_s / max(1, self.in_use)
        retry_after_s = retry_times.after_wait(max(self.retry_after_s, next_end_s))
        return Problem(Code.CONCURRENCY_LIMITED, source=source, retry_after_s=retry_after_s)

    def lease_request(self, node: str) -> LeaseRequest:
        """Return the lease request for the demand since the last one, and reset the demand."""
        starts = self.demand
        self.demand = 0
        wanted = self.in_use + starts
        return LeaseRequest(
            node, self.share.customer, self.share.request_class, starts, self.in_use, wanted
        )

    def take(self, lease: Lease, now_s: float, nodes: int) -> None:
        """Apply the owner's lease; starts left over from a lease that is still valid are kept."""
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
        """Admit this node's equal part of the limit, because no lease can be had from the owner."""
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
    """The limits that this node owns."""

    def __init__(self, clock: Callable[[], float]):
        """Keep the clock, a monotonic time in seconds."""
        self._clock = clock
        self._owned: dict[tuple[str, str], OwnedLimit] = {}

    def lease(self, request: LeaseRequest, share: Share, nodes: int) -> Lease:
        """Grant a node's lease request under the share that is in force."""
        now_s = self._clock()
        key = (request.customer, request.request_class)
        owned = self._owned.get(key)
        if owned is None:
            owned = self._owned[key] = OwnedLimit.from_share(share, now_s)
        owned.share = share
        return owned.lease(request, now_s, nodes)

    def keep_only(self, owned: Callable[[str, str], bool]) -> None:
        """Drop the limits that other nodes own now."""
        self._owned = {key: limit for key, limit in self._owned.items() if owned(*key)}
