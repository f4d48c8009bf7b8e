"""Asks coordinators for endpoints, and answers the nodes that ask this one.

A question and its answer are a datagram each, and the asker waits a few milliseconds at the most:
without an answer it chooses alone. The coordinator counts the request at the endpoint that it names
at once, so that the next question sees it; the asker's own notice confirms that. What no notice
confirms is dropped.
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Collection
from dataclasses import astuple, dataclass

from springbridge.routing.endpoint_choice import Choice, Chooser
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import Overload
from springbridge.routing.records import Demand
from springbridge.routing.selection import Selection, select, start_notice

from springbridge_node.gateway.peers import prompt_rows
from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

ANSWER_S = 0.08
CONFIRMED_S = 0.5


@dataclass(frozen=True, slots=True)
class SelectionReply:
    """A coordinator's answer.

    Attributes:
      endpoint_id: The endpoint, "" if there is none.
      source_id: The endpoint to fetch more of the prompt from, "" for none.
      fetched_tokens: Tokens of the prompt that it keeps.
      overload: Why the request is to be refused, if its endpoints have too much; else None.
    """

    endpoint_id: str
    source_id: str
    fetched_tokens: int
    overload: Overload | None


class SelectionServer:
    """Answers nodes that ask this one for an endpoint."""

    def __init__(
        self,
        registry: EndpointRegistry,
        choose: Chooser,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep the registry, on which the load of all nodes is known, and the choice."""
        self._registry = registry
        self._choose = choose
        self._clock = clock
        self._datagrams: PeerDatagrams | None = None
        self._unconfirmed: dict[str, tuple[str, float]] = {}

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to answer."""
        self._datagrams = datagrams
        datagrams.handle(Kind.ASK, self._take)

    def select(
        self,
        demand: Demand,
        tried: Collection[str],
        attempt_id: str,
        avoided: Collection[str] = (),
    ) -> SelectionReply:
        """Return the endpoint for an attempt and count the attempt there.

        Args:
          avoided: Ids of endpoints that the asker cannot use, whatever this node believes of them.
        """
        self._drop_unconfirmed()
        selection = select(self._registry, demand, tried, self._choose, avoided)
        choice = selection.choice
        if choice is None:
            return SelectionReply("", "", 0, selection.overload)
        endpoint_id = choice.state.entry.endpoint_id
        self._registry.take_notice(start_notice(choice, demand, attempt_id))
        self._unconfirmed[attempt_id] = (endpoint_id, self._clock())
        source_id = choice.source.entry.endpoint_id if choice.source else ""
        return SelectionReply(endpoint_id, source_id, choice.fetched_tokens, None)

    def heard(self, notice: LoadNotice) -> None:
        """Take a node's own notice of an attempt as the confirmation."""
        self._unconfirmed.pop(notice.attempt_id, None)

    def _drop_unconfirmed(self) -> None:
        """Drop the attempts that their nodes did not begin, the oldest first."""
        oldest_s = self._clock() - CONFIRMED_S
        while self._unconfirmed:
            attempt_id, (endpoint_id, since_s) = next(iter(self._unconfirmed.items()))
            if since_s > oldest_s:
                return
            del self._unconfirmed[attempt_id]
            self._registry.take_notice(LoadNotice(LoadPhase.ENDED, attempt_id, endpoint_id))

    def _take(self, rows: list, sender: str) -> None:
        """Answer a question."""
        number, attempt_id, tried, avoided, *demanded = rows
        told = self.select(_demand(demanded), tried, attempt_id, avoided)
        answer = [number, *astuple(told)]
        self._datagrams.send(Kind.ASSIGNED, answer, [sender])


class SelectionClient:
    """Asks coordinators."""

    def __init__(self, registry: EndpointRegistry, coordinators: CoordinatorSet) -> None:
        """Keep the registry, for what this node believes of endpoints, and the coordinators."""
        self._registry = registry
        self._coordinators = coordinators
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[SelectionReply]] = {}
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to ask."""
        self._datagrams = datagrams
        datagrams.handle(Kind.ASSIGNED, self._take)

    async def ask(
        self, demand: Demand, tried: Collection[str], attempt_id: str
    ) -> Selection | None:
        """Return what a coordinator selects, or None if this node has to choose alone."""
        address = self._coordinators.first(demand.service)
        if address is None or self._datagrams is None:
            return None
        told = await self._answer(address, demand, tried, attempt_id)
        if told is None:
            self._coordinators.avoid(address)
            return None
        if told.overload is not None:
            return Selection(None, told.overload)
        usable = self._registry.candidates(demand.service, tried)
        state = next((each for each in usable if each.entry.endpoint_id == told.endpoint_id), None)
        if state is None:
            return None
        source = self._registry.find(told.source_id) if told.source_id else None
        return Selection(Choice(state, source, told.fetched_tokens, attempt_id, address))

    async def _answer(
        self, address: str, demand: Demand, tried: Collection[str], attempt_id: str
    ) -> SelectionReply | None:
        """Return a coordinator's answer, or None if it does not come in time."""
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        avoided = self._registry.avoided(demand.service)
        question = [number, attempt_id, list(tried), avoided, *_demand_row(demand)]
        self._datagrams.send(Kind.ASK, question, [address])
        try:
            async with asyncio.timeout(ANSWER_S):
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    def _take(self, rows: list, sender: str) -> None:
        """Take in an answer; one that comes late is of no use."""
        number, *told = rows
        fut = self._waiting.get(number)
        if fut is not None and not fut.done():
            fut.set_result(_selection_reply(told))


def _selection_reply(row: list) -> SelectionReply:
    """Return an answer from what travelled; an overload travels as a list of its fields."""
    endpoint_id, source_id, fetched_tokens, overload = row
    refusal = None if overload is None else Overload(*overload)
    return SelectionReply(endpoint_id, source_id, fetched_tokens, refusal)


def _demand_row(demand: Demand) -> list:
    """Return a demand as it travels, in the order of the record's fields."""
    return [
        demand.request_id,
        demand.service,
        demand.failure_domain,
        demand.priority,
        demand.target_s,
        demand.prompt_tokens,
        prompt_rows.to_rows(demand.prompt_parts),
        demand.fetches,
    ]


def _demand(row: list) -> Demand:
    """Return a demand from what travelled."""
    request_id, service, failure_domain, priority, target_s, prompt_tokens, parts, fetches = row
    return Demand(
        request_id,
        service,
        failure_domain,
        priority,
        target_s,
        prompt_tokens,
        prompt_rows.from_rows(parts),
        fetches,
    )
