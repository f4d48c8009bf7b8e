"""Rate and concurrency per customer and class, held for the sum of all nodes.

One node owns a limit (rendezvous hash over the live nodes). It hands out leases: a number of
request starts and a number of concurrent requests, each for LEASE_S. An entry node admits from its
lease without asking and renews in time. While the owner cannot be reached, or has only just become
the owner and does not know yet what the former one handed out, nodes admit their equal part.

Error bound for the sum: at a change of owner, the leases outstanding (one LEASE_S of the rate) and
the bursts of the equal parts and of the new owner's bucket (1.25 BURST_S of the rate); for
concurrency, the rounding up of the equal parts. Otherwise the sum does not exceed the limit and its
burst.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

from springbridge.classes.entities import Share

LEASE_S = 1.0
BURST_S = 1.0
UNSETTLED_BURST_S = BURST_S / 4
OWNER_GRACE_S = 1.5 * LEASE_S


@dataclass(frozen=True)
class LeaseAsk:
    """A node asks the owner of a limit for a lease.

    Attributes:
      starts: Request starts that the node expects to need during the lease.
      in_use: Concurrent requests that the node has running.
      wanted: Concurrent requests that the node expects to need, those in use included.
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
      retry_after_s: When there will be more, if starts or places fell short.
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
    """Owner's side of one limit: a token bucket, and the places that nodes hold."""

    share: Share
    tokens: float
    refilled_s: float
    since_s: float
    concurrency: dict[str, int] = field(default_factory=dict)
    expires_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_share(cls, share: Share, now_s: float) -> "OwnedLimit":
        """Start an owned limit with little in its bucket, as the former owner may have spent it."""
        tokens = max(1.0, share.rate_per_s * UNSETTLED_BURST_S)
        return cls(share, tokens, now_s, now_s)

    def lease(self, ask: LeaseAsk, now_s: float, nodes: int) -> Lease:
        """Return the lease that follows from an ask, given the number of live nodes."""
        settled = now_s - self.since_s >= OWNER_GRACE_S or nodes == 1
        self._refill(now_s, settled)
        self._drop_expired(now_s)
        concurrency = self._lease_concurrency(ask, now_s)
        starts = min(ask.starts, int(self.tokens)) if settled else 0
        self.tokens -= starts
        retry_s = max(0.0, 1.0 - self.tokens) / self.share.rate_per_s
        return Lease(ask.customer, ask.request_class, starts, concurrency, retry_s, settled)

    def _refill(self, now_s: float, settled: bool) -> None:
        """Fill the bucket, but only a little while nodes still use their equal parts."""
        burst_s = BURST_S if settled else UNSETTLED_BURST_S
        burst = max(1.0, self.share.rate_per_s * burst_s)
        grown = self.tokens + (now_s - self.refilled_s) * self.share.rate_per_s
        self.tokens = min(burst, grown)
        self.refilled_s = now_s

    def _drop_expired(self, now_s: float) -> None:
        for node in [node for node, end_s in self.expires_s.items() if end_s <= now_s]:
            del self.expires_s[node]
            del self.concurrency[node]

    def _lease_concurrency(self, ask: LeaseAsk, now_s: float) -> int:
        """Return how many requests a node may run: those it runs already, more only if free."""
        others = sum(leased for node, leased in self.concurrency.items() if node != ask.node)
        free = max(0, self.share.concurrency - others)
        leased = max(ask.in_use, min(ask.wanted, free))
        self.concurrency[ask.node] = leased
        self.expires_s[ask.node] = now_s + LEASE_S
        return leased


@dataclass
class NodeLimit:
    """Entry node's side of one limit."""

    share: Share
    starts: float = 0.0
    concurrency: int = 0
    in_use: int = 0
    valid_until_s: float = 0.0
    own_part: bool = False
    refilled_s: float = 0.0
    retry_after_s: float = 0.1
    demand: int = 0

    def try_start(self, now_s: float) -> bool:
        """Take one start and one place, if the lease or the equal part has them."""
        if now_s >= self.valid_until_s:
            return False
        if self.starts < 1 or self.in_use >= self.concurrency:
            return False
        self.starts -= 1
        self.in_use += 1
        return True

    def want(self) -> None:
        """Count a request that asks to start, for the next ask to the owner."""
        self.demand += 1

    def finish(self) -> None:
        """Give the place back."""
        self.in_use -= 1

    def ask(self, node: str) -> LeaseAsk:
        """Return what to ask the owner for, from the demand since the last ask."""
        starts = self.demand
        self.demand = 0
        wanted = self.in_use + starts
        return LeaseAsk(
            node, self.share.customer, self.share.request_class, starts, self.in_use, wanted
        )

    def take(self, lease: Lease, now_s: float, nodes: int) -> None:
        """Take in the owner's answer."""
        if not lease.settled:
            self.fall_back(now_s, nodes)
            return
        kept = self.starts if now_s < self.valid_until_s and not self.own_part else 0.0
        self.own_part = False
        self.starts = kept + lease.starts
        self.concurrency = lease.concurrency
        self.retry_after_s = lease.retry_after_s
        self.valid_until_s = now_s + LEASE_S

    def fall_back(self, now_s: float, nodes: int) -> None:
        """Admit this node's equal part, since the owner cannot be asked."""
        rate = self.share.rate_per_s / nodes
        if not self.own_part:
            self.own_part = True
            self.starts = max(1.0, rate * BURST_S)
            self.refilled_s = now_s
        grown = self.starts + (now_s - self.refilled_s) * rate
        self.starts = min(max(1.0, rate * BURST_S), grown)
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

    def lease(self, ask: LeaseAsk, share: Share, nodes: int) -> Lease:
        """Answer a node's ask under the share that is in force."""
        now_s = self._clock()
        key = (ask.customer, ask.request_class)
        owned = self._owned.get(key)
        if owned is None:
            owned = self._owned[key] = OwnedLimit.from_share(share, now_s)
        owned.share = share
        return owned.lease(ask, now_s, nodes)

    def keep_only(self, owned: Callable[[str, str], bool]) -> None:
        """Forget the limits that other nodes own now."""
        self._owned = {key: limit for key, limit in self._owned.items() if owned(*key)}
