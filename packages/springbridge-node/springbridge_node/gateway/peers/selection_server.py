"""Coordinator side of remote selection: selects endpoints for nodes that ask this one.

A request and its reply are one datagram each. The server counts the attempt at the selected
endpoint at once, so that the next selection takes it into account. The client node confirms the
attempt by its own load notice. An attempt that is not confirmed in time is dropped, because the
client may have timed out, selected an endpoint itself, or ended.
"""

from collections.abc import Callable
from dataclasses import dataclass

from springbridge.routing.endpoint_choice import Chooser
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.selection import select, start_notice

from springbridge_node.clock import now_s
from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.selection_messages import SelectionReply, SelectionRequest

# Seconds for which an attempt counts without a load notice from its own node. It has to exceed the
# reply timeout (0.08 s) plus the batching delay of notices (0.01 s); it is several times their sum.
CONFIRMATION_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class UnconfirmedAttempt:
    """An attempt that the client node has not confirmed yet.

    Attributes:
      since_s: When the endpoint was selected, on the server's clock.
    """

    endpoint_id: str
    since_s: float


class SelectionServer:
    """Answers selection requests of other nodes."""

    def __init__(
        self,
        registry: EndpointRegistry,
        choose: Chooser,
        clock: Callable[[], float] = now_s,
        has_rate: Callable[[str], bool] = lambda endpoint_id: False,
    ) -> None:
        """Create a server that answers nothing until connect() is called.

        Args:
          registry: Has the load of all nodes, since every node sends its load notices to
            coordinators.
          has_rate: Returns whether the endpoint with an id states a rate limit. A node that avoids
            such an endpoint is waiting for a permit.
        """
        self._registry = registry
        self._choose = choose
        self._has_rate = has_rate
        self._clock = clock
        self._datagrams: PeerDatagrams | None = None
        self._unconfirmed: dict[str, UnconfirmedAttempt] = {}

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start answering requests."""
        self._datagrams = datagrams
        datagrams.handle(Kind.SELECTION_REQUEST, self._handle_request)

    def select(self, request: SelectionRequest) -> SelectionReply:
        """Select an endpoint for an attempt and count the attempt as load there."""
        self._drop_unconfirmed()
        demand = request.demand
        held_back = [each for each in request.avoided if self._has_rate(each)]
        selection = select(
            self._registry, demand, request.tried, self._choose, request.avoided, held_back
        )
        choice = selection.choice
        if choice is None:
            return SelectionReply(request.number, "", "", 0, selection.overload)
        endpoint_id = choice.state.entry.endpoint_id
        self._registry.apply_notice(start_notice(choice, demand, request.attempt_id))
        self._unconfirmed[request.attempt_id] = UnconfirmedAttempt(endpoint_id, self._clock())
        source_id = choice.source.entry.endpoint_id if choice.source else ""
        return SelectionReply(request.number, endpoint_id, source_id, choice.fetched_tokens, None)

    def confirm(self, notice: LoadNotice) -> None:
        """Mark an attempt as confirmed by a load notice from its own node."""
        self._unconfirmed.pop(notice.attempt_id, None)

    def _drop_unconfirmed(self) -> None:
        """Drop attempts that were not confirmed within CONFIRMATION_TIMEOUT_S.

        A dict keeps the order of insertion, so the search ends at the first recent attempt.
        """
        oldest_s = self._clock() - CONFIRMATION_TIMEOUT_S
        while self._unconfirmed:
            attempt_id, attempt = next(iter(self._unconfirmed.items()))
            if attempt.since_s > oldest_s:
                return
            del self._unconfirmed[attempt_id]
            self._registry.apply_notice(
                LoadNotice(LoadPhase.ENDED, attempt_id, attempt.endpoint_id)
            )

    def _handle_request(self, row: list, sender: str) -> None:
        """Answer a node's selection request."""
        reply = self.select(codec.read_request(row))
        self._datagrams.send(Kind.SELECTION_REPLY, codec.reply_row(reply), [sender])
