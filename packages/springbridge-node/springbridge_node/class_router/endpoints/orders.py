"""Gives operators' orders (load, unload, role) to endpoints under a fenced lease.

See docs/design/engine-orders.md for what is weighed, and what an endpoint without tokens risks.
"""

from collections.abc import Callable

from returns.result import Failure, Result, Success
from springbridge.classes.entities import Endpoint
from springbridge.classes.ports import OrderKind, OrderLease, TableStore
from springbridge.codes import Code
from springbridge.problems import Problem
from tornado.httpclient import HTTPClientError

from springbridge_node import logs
from springbridge_node.class_router.endpoints.model_client import ModelClient

# What must be left of a lease (10 s) when an order goes to an endpoint that checks no fencing
# token. It covers a pause of the node between this check and the send; a longer one is not
# covered.
LEASE_MARGIN_S = 5.0


class Orders:
    """Gives orders to endpoints under a lease with an epoch in the platform's table."""

    def __init__(self, store: TableStore, client: ModelClient, me: str, clock: Callable[[], float]):
        """Keep the ports.

        Args:
          me: This node's incarnation, which holds the leases.
          clock: Monotonic time in seconds.
        """
        self._store = store
        self._client = client
        self._me = me
        self._clock = clock

    async def give(
        self, endpoint: Endpoint, kind: OrderKind, argument: str
    ) -> Result[int, Problem]:
        """Give an order and return the epoch of the lease under which the endpoint took it.

        An endpoint that checks fencing tokens refuses a lower epoch by itself. For one that does
        not, the node sends the order only while LEASE_MARGIN_S of the lease are left, and only an
        order that may be repeated: a change of role is left to the operator.
        """
        if not endpoint.checks_tokens and kind is OrderKind.ROLE:
            detail = "the engine checks no tokens; change its role by hand"
            return Failure(Problem(Code.ORDER_REFUSED, detail, endpoint.name))
        asked_s = self._clock()
        match await self._store.take_lease(endpoint.name, self._me):
            case Failure(problem):
                return Failure(problem)
            case Success(lease):
                pass
        margin_s = 0.0 if endpoint.checks_tokens else LEASE_MARGIN_S
        if self._clock() - asked_s + margin_s > lease.valid_s:
            detail = "too little of the lease is left"
            return Failure(Problem(Code.ORDER_REFUSED, detail, endpoint.name))
        return await self._send(endpoint, kind, argument, lease)

    async def _send(
        self, endpoint: Endpoint, kind: OrderKind, argument: str, lease: OrderLease
    ) -> Result[int, Problem]:
        try:
            reply = await self._client.order(endpoint, kind, argument, lease)
        except (HTTPClientError, OSError) as exc:
            # Silence and a connection that is closed without an answer are an HTTPClientError: the
            # order may have been taken, which the operator has to know.
            return Failure(Problem(Code.OUTCOME_UNKNOWN, type(exc).__name__, endpoint.name))
        if not reply.taken:
            return Failure(Problem(Code.ORDER_REFUSED, reply.text, endpoint.name))
        logs.event("order.taken", engine=endpoint.name, order=kind.value, epoch=lease.epoch)
        return Success(lease.epoch)
