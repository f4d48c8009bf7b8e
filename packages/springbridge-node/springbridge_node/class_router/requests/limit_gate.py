"""Admission by rate and concurrency: leases that this node has from the limits' owners.

Also answers other nodes for the limits that this node owns. The arithmetic of leases and shares is
the library's (springbridge.classes.limits); this module waits, sends and remembers.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from returns.result import Failure, Result, Success
from springbridge.classes.entities import Share, Table
from springbridge.classes.limits import Lease, LeaseRequest, LimitOwner, NodeLimit
from springbridge.hashing import owner
from springbridge.membership import Membership
from springbridge.problems import Problem

from springbridge_node.class_router.peers.messages import Message

# Longest wait for a lease; then the node admits its equal part of the limit. Callers wait this long
# for the first token when an owner is lost. Far above one exchange with a peer.
OWNER_PATIENCE_S = 0.25
# How long a limit that nobody uses is remembered after its last lease. Bounds memory only.
IDLE_KEEP_S = 60.0

# Customer and class, which name a limit as they name a share in the table.
Key = tuple[str, str]


class LimitGate:
    """All limits: those that apply to requests at this node, and those that this node owns."""

    def __init__(
        self,
        membership: Membership,
        clock: Callable[[], float],
        table: Callable[[], Table],
        send: Callable[[str, Message], None],
    ):
        """Start with no lease, neither taken nor given."""
        self._membership = membership
        self._clock = clock
        self._table = table
        self._send = send
        self._owner = LimitOwner(clock)
        self._limits: dict[Key, NodeLimit] = {}
        self._answers: dict[Key, asyncio.Future[None]] = {}

    async def start(self, share: Share) -> Result[NodeLimit, Problem]:
        """Admit one request of a customer and class, waiting for a lease if there is none.

        Returns:
          The limit, which the caller has to finish(), see finishing(); or RATE_LIMITED or
          CONCURRENCY_LIMITED with a time to come back.
        """
        key = (share.customer, share.request_class)
        limit = self._limits.setdefault(key, NodeLimit(share))
        limit.share = share
        limit.count_demand()
        if limit.try_start(self._clock()):
            return Success(limit)
        asked = False
        while not asked:
            asked = await self._renew(key, limit)
            if limit.try_start(self._clock()):
                return Success(limit)
        return Failure(limit.refusal())

    async def _renew(self, key: Key, limit: NodeLimit) -> bool:
        """Wait for a lease, or fall back to the equal part if the owner does not answer.

        Returns:
          Whether the lease was asked for by this request. If not, it was sized before this request
          came, and the request has to ask for another.
        """
        answer = self._answers.get(key)
        asks = answer is None
        if answer is None:
            answer = self._answers[key] = asyncio.get_running_loop().create_future()
            self._ask_owner(key, limit)
        try:
            async with asyncio.timeout(OWNER_PATIENCE_S):
                await asyncio.shield(answer)
        except TimeoutError:
            # Without the owner the sum over all nodes is less exact, but requests are admitted.
            limit.fall_back(self._clock(), self._nodes())
            self._answered(key)
        return asks

    def _answered(self, key: Key) -> None:
        """Wake the requests that wait for a lease."""
        answer = self._answers.pop(key, None)
        if answer is not None and not answer.done():
            answer.set_result(None)

    def _ask_owner(self, key: Key, limit: NodeLimit) -> None:
        limit_owner = self._owner_of(*key)
        if limit_owner is None:
            limit.fall_back(self._clock(), self._nodes())
            self._answered(key)
            return
        self._send(limit_owner, limit.lease_request(self._membership.me.incarnation))

    def answer_ask(self, request: LeaseRequest) -> None:
        """Answer a node's lease request as the owner of the limit."""
        share = self._table().shares.get((request.customer, request.request_class))
        if share is not None:
            self._send(request.node, self._owner.lease(request, share, self._nodes()))

    def take_lease(self, lease: Lease) -> None:
        """Take in the owner's answer."""
        key = (lease.customer, lease.request_class)
        limit = self._limits.get(key)
        if limit is not None:
            limit.take(lease, self._clock(), self._nodes())
        self._answered(key)

    def renew_in_use(self) -> None:
        """Renew the leases of all limits in use; their owners count running requests by them."""
        me = self._membership.me.incarnation
        for key, limit in self._limits.items():
            limit_owner = self._owner_of(*key)
            if limit.in_use and limit_owner is not None:
                self._send(limit_owner, limit.lease_request(me))

    def tidy(self) -> None:
        """Forget limits that other nodes own now and leases that are long over."""
        me = self._membership.me.incarnation
        self._owner.keep_only(lambda *key: self._owner_of(*key) == me)
        limit_s = self._clock() - IDLE_KEEP_S
        self._limits = {
            key: limit
            for key, limit in self._limits.items()
            if limit.in_use or limit.valid_until_s > limit_s
        }

    def _owner_of(self, customer: str, request_class: str) -> str | None:
        key = f"limit/{customer}/{request_class}"
        return owner(key, self._membership.incarnations())

    def _nodes(self) -> int:
        return max(1, len(self._membership.live()))


@contextmanager
def finishing(limit: NodeLimit, clock: Callable[[], float]) -> Iterator[None]:
    """Give the request's place under the limit back at the end, and note how long it ran.

    Args:
      clock: Monotonic time in seconds.
    """
    start_s = clock()
    try:
        yield
    finally:
        limit.finish()
        limit.record_duration(clock() - start_s)
