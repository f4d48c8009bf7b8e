"""Coordinator's side of remote selection: answers nodes that ask this one for an endpoint.

A request and its reply are one datagram each. The server counts the attempt at the endpoint that it
names at once, so that the next request sees it. The asking node confirms the attempt by its own
load notice; an attempt that no notice confirms in time is dropped again, because its node may have
given up waiting, chosen by itself, or died.
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

# Seconds for which an attempt counts before its node's own notice has come. It has to outlast the
# wait for the reply (0.08 s) and the gathering of notices (0.01 s). Several times their sum.
AWAIT_NOTICE_S = 0.5


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """An attempt that its node has not confirmed.

    Attributes:
      since_s: When it was selected, on the server's clock.
    """

    endpoint_id: str
    since_s: float


class SelectionServer:
    """Answers nodes that ask this one for an endpoint."""

    def __init__(
        self,
        registry: EndpointRegistry,
        choose: Chooser,
        clock: Callable[[], float] = now_s,
        has_rate: Callable[[str], bool] = lambda endpoint_id: False,
    ) -> None:
        """Keep the parts.

        Args:
          registry: Knows the load of all nodes, since every node sends its load notices here.
          has_rate: Returns whether the endpoint of an id names a rate. A node that avoids such an
            endpoint waits for a permit.
        """
        self._registry = registry
        self._choose = choose
        self._has_rate = has_rate
        self._clock = clock
        self._datagrams: PeerDatagrams | None = None
        self._unconfirmed: dict[str, Unconfirmed] = {}

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to answer."""
        self._datagrams = datagrams
        datagrams.handle(Kind.SELECTION_REQUEST, self._answer)

    def select(self, request: SelectionRequest) -> SelectionReply:
        """Select the endpoint for an attempt and count the attempt there."""
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
        self._unconfirmed[request.attempt_id] = Unconfirmed(endpoint_id, self._clock())
        source_id = choice.source.entry.endpoint_id if choice.source else ""
        return SelectionReply(request.number, endpoint_id, source_id, choice.fetched_tokens, None)

    def confirm(self, notice: LoadNotice) -> None:
        """Take a node's own notice of an attempt as the confirmation."""
        self._unconfirmed.pop(notice.attempt_id, None)

    def _drop_unconfirmed(self) -> None:
        """Drop the attempts that were not confirmed in time.

        A dict keeps the order of insertion, so the first that is young enough ends the search.
        """
        oldest_s = self._clock() - AWAIT_NOTICE_S
        while self._unconfirmed:
            attempt_id, attempt = next(iter(self._unconfirmed.items()))
            if attempt.since_s > oldest_s:
                return
            del self._unconfirmed[attempt_id]
            self._registry.apply_notice(
                LoadNotice(LoadPhase.ENDED, attempt_id, attempt.endpoint_id)
            )

    def _answer(self, row: list, sender: str) -> None:
        """Answer a node's request."""
        reply = self.select(codec.read_request(row))
        self._datagrams.send(Kind.SELECTION_REPLY, codec.reply_row(reply), [sender])
