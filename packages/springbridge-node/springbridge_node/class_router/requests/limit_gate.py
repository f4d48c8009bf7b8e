"""Admission by rate and concurrency, under leases that the owners of the limits grant to this node.

Also grants leases to other nodes for the limits that this node owns. The arithmetic of leases and
shares is in springbridge.classes.limits; this module does the waiting, the messages and the state.
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

# Timeout for a lease; then the node admits its equal part of the limit. Callers wait this much
# longer for the first token when an owner is lost. Far above one round trip to a peer.
LEASE_TIMEOUT_S = 0.25
# How long an unused limit is kept after its last lease. Bounds memory only.
IDLE_LIMIT_RETENTION_S = 60.0

# Customer and class; they identify a limit, as they identify a share in the table.
Key = tuple[str, str]


class LimitGate:
    """Admits requests under their limits, and grants leases for the limits that this node owns."""

    def __init__(
        self,
        membership: Membership,
        clock: Callable[[], float],
        table: Callable[[], Table],
        send: Callable[[str, Message], None],
    ):
        """Start without leases, held or granted."""
        self._membership = membership
        self._clock = clock
        self._table = table
        self._send = send
        self._owner = LimitOwner(clock)
        self._limits: dict[Key, NodeLimit] = {}
        self._pending_leases: dict[Key, asyncio.Future[None]] = {}

    async def start(self, share: Share) -> Result[NodeLimit, Problem]:
        """Admit one request of a customer and class, waiting for a lease if there is none.

        Returns:
          The limit, on which the caller has to call finish(), see hold_until_done(); or
          RATE_LIMITED or CONCURRENCY_LIMITED with a time to retry after.
        """
        key = (share.customer, share.request_class)
        limit = self._limits.setdefault(key, NodeLimit(share))
        limit.share = share
        limit.count_demand()
        if limit.try_start(self._clock()):
            return Success(limit)
        requested = False
        while not requested:
            requested = await self._renew(key, limit)
            if limit.try_start(self._clock()):
                return Success(limit)
        return Failure(limit.refusal())

    async def _renew(self, key: Key, limit: NodeLimit) -> bool:
        """Wait for a lease, or fall back to the equal part if the owner does not answer.

        Returns:
          Whether this request requested the lease. If not, the lease was sized before this request
          arrived, and the request has to request another.
        """
        pending = self._pending_leases.get(key)
        requests_lease = pending is None
        if pending is None:
            pending = self._pending_leases[key] = asyncio.get_running_loop().create_future()
            self._request_lease(key, limit)
        try:
            async with asyncio.timeout(LEASE_TIMEOUT_S):
                await asyncio.shield(pending)
        except TimeoutError:
            # Without the owner the sum over all nodes is less exact, but requests are admitted.
            limit.fall_back(self._clock(), self._node_count())
            self._wake_waiting(key)
        return requests_lease

    def _wake_waiting(self, key: Key) -> None:
        """Wake the requests that wait for a lease."""
        pending = self._pending_leases.pop(key, None)
        if pending is not None and not pending.done():
            pending.set_result(None)

    def _request_lease(self, key: Key, limit: NodeLimit) -> None:
        limit_owner = self._owner_of(*key)
        if limit_owner is None:
            limit.fall_back(self._clock(), self._node_count())
            self._wake_waiting(key)
            return
        self._send(limit_owner, limit.lease_request(self._membership.me.incarnation))

    def grant_lease(self, request: LeaseRequest) -> None:
        """Answer a node's lease request as the owner of the limit."""
        share = self._table().shares.get((request.customer, request.request_class))
        if share is not None:
            self._send(request.node, self._owner.lease(request, share, self._node_count()))

    def apply_lease(self, lease: Lease) -> None:
        """Apply a lease that the owner granted, and wake the requests that wait for it."""
        key = (lease.customer, lease.request_class)
        limit = self._limits.get(key)
        if limit is not None:
            limit.take(lease, self._clock(), self._node_count())
        self._wake_waiting(key)

    def renew_in_use(self) -> None:
        """Renew the leases of all limits in use; their owners count running requests from these."""
        me = self._membership.me.incarnation
        for key, limit in self._limits.items():
            limit_owner = self._owner_of(*key)
            if limit.in_use and limit_owner is not None:
                self._send(limit_owner, limit.lease_request(me))

    def drop_idle(self) -> None:
        """Drop limits that other nodes own now, and those unused for IDLE_LIMIT_RETENTION_S."""
        me = self._membership.me.incarnation
        self._owner.keep_only(lambda *key: self._owner_of(*key) == me)
        limit_s = self._clock() - IDLE_LIMIT_RETENTION_S
        self._limits = {
            key: limit
            for key, limit in self._limits.items()
            if limit.in_use or limit.valid_until_s > limit_s
        }

    def _owner_of(self, customer: str, request_class: str) -> str | None:
        key = f"limit/{customer}/{request_class}"
        return owner(key, self._membership.incarnations())

    def _node_count(self) -> int:
        return max(1, len(self._membership.live()))


@contextmanager
def hold_until_done(limit: NodeLimit, clock: Callable[[], float]) -> Iterator[None]:
    """Count a request as running under the limit until the end, then record how long it ran.

    Args:
      clock: Monotonic time in seconds.
    """
    start_s = clock()
    try:
        yield
    finally:
        limit.finish()
        limit.record_duration(clock() - start_s)
