"""Sends operators' orders (load, unload, role) to endpoints under a lease with a fencing token.

See docs/design/engine-orders.md for the trade-offs, and the risk with endpoints that check no
tokens.
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

# Part of a lease (10 s) that must remain to send an order to an endpoint that checks no fencing
# token. It covers a pause of the node between this check and the send; a longer pause is not
# covered.
LEASE_MARGIN_S = 5.0


class Orders:
    """Sends orders to endpoints under a lease in the platform's table, whose epoch is the token."""

    def __init__(self, store: TableStore, client: ModelClient, me: str, clock: Callable[[], float]):
        """Store the dependencies.

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
        """Send an order and return the epoch of the lease under which the endpoint accepted it.

        An endpoint that checks fencing tokens refuses a lower epoch by itself. To one that does
        not, the node sends an order only while LEASE_MARGIN_S of the lease remain, and only if the
        order may be repeated: a change of role is left to the operator.
        """
        if not endpoint.checks_tokens and kind is OrderKind.ROLE:
            detail = "the engine checks no tokens; change its role by hand"
            return Failure(Problem(Code.ORDER_REFUSED, detail, endpoint.name))
        lease_requested_s = self._clock()
        match await self._store.take_lease(endpoint.name, self._me):
            case Failure(problem):
                return Failure(problem)
            case Success(lease):
                pass
        margin_s = 0.0 if endpoint.checks_tokens else LEASE_MARGIN_S
        if self._clock() - lease_requested_s + margin_s > lease.valid_s:
            detail = "too little of the lease is left"
            return Failure(Problem(Code.ORDER_REFUSED, detail, endpoint.name))
        return await self._send(endpoint, kind, argument, lease)

    async def _send(
        self, endpoint: Endpoint, kind: OrderKind, argument: str, lease: OrderLease
    ) -> Result[int, Problem]:
        try:
            reply = await self._client.order(endpoint, kind, argument, lease)
        except (HTTPClientError, OSError) as exc:
            # A timeout and a connection closed without an answer are an HTTPClientError: the order
            # may have been accepted, which the operator has to know.
            return Failure(Problem(Code.OUTCOME_UNKNOWN, type(exc).__name__, endpoint.name))
        if not reply.accepted:
            return Failure(Problem(Code.ORDER_REFUSED, reply.text, endpoint.name))
        logs.event("order.taken", engine=endpoint.name, order=kind.value, epoch=lease.epoch)
        return Success(lease.epoch)
