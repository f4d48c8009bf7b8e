"""Asks schedulers for engines, and answers the nodes that ask this one.

A question and its answer are a datagram each, and the asker waits a few milliseconds at the most:
without an answer it chooses alone. The scheduler counts the request at the engine that it names at
once, so that the next question sees it; the asker's own notice confirms that. What no notice
confirms is dropped.
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Collection
from dataclasses import astuple, dataclass

from springbridge.routing.endpoint_choice import Choice, Chooser
from springbridge.routing.endpoint_registry import EngineBoard
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import Overload
from springbridge.routing.records import Demand
from springbridge.routing.selection import Selection, select, start_notice

from springbridge_node.gateway.peers import prompt_rows
from springbridge_node.gateway.peers.coordinator_set import SchedulerSet
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

ANSWER_S = 0.08
CONFIRMED_S = 0.5


@dataclass(frozen=True, slots=True)
class Assignment:
    """A scheduler's answer.

    Attributes:
      engine_id: The engine, "" if there is none.
      source_id: The engine to fetch more of the prompt from, "" for none.
      fetched_tokens: Tokens of the prompt that it keeps.
      overload: Why the request is to be refused, if its engines have too much; else None.
    """

    engine_id: str
    source_id: str
    fetched_tokens: int
    overload: Overload | None


class AssignmentServer:
    """Answers nodes that ask this one for an engine."""

    def __init__(
        self, board: EngineBoard, choose: Chooser, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Keep the board, on which the load of all nodes is known, and the choice."""
        self._board = board
        self._choose = choose
        self._clock = clock
        self._datagrams: PeerDatagrams | None = None
        self._unconfirmed: dict[str, tuple[str, float]] = {}

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to answer."""
        self._datagrams = datagrams
        datagrams.handle(Kind.ASK, self._take)

    def assign(
        self,
        demand: Demand,
        tried: Collection[str],
        attempt_id: str,
        avoided: Collection[str] = (),
    ) -> Assignment:
        """Return the engine for an attempt and count the attempt there.

        Args:
          avoided: Ids of engines that the asker cannot use, whatever this node believes of them.
        """
        self._drop_unconfirmed()
        selection = select(self._board, demand, tried, self._choose, avoided)
        choice = selection.choice
        if choice is None:
            return Assignment("", "", 0, selection.overload)
        engine_id = choice.state.entry.engine_id
        self._board.take_notice(start_notice(choice, demand, attempt_id))
        self._unconfirmed[attempt_id] = (engine_id, self._clock())
        source_id = choice.source.entry.engine_id if choice.source else ""
        return Assignment(engine_id, source_id, choice.fetched_tokens, None)

    def heard(self, notice: LoadNotice) -> None:
        """Take a node's own notice of an attempt as the confirmation."""
        self._unconfirmed.pop(notice.attempt_id, None)

    def _drop_unconfirmed(self) -> None:
        """Drop the attempts that their nodes did not begin, the oldest first."""
        oldest_s = self._clock() - CONFIRMED_S
        while self._unconfirmed:
            attempt_id, (engine_id, since_s) = next(iter(self._unconfirmed.items()))
            if since_s > oldest_s:
                return
            del self._unconfirmed[attempt_id]
            self._board.take_notice(LoadNotice(LoadPhase.ENDED, attempt_id, engine_id))

    def _take(self, rows: list, sender: str) -> None:
        """Answer a question."""
        number, attempt_id, tried, avoided, *demanded = rows
        told = self.assign(_demand(demanded), tried, attempt_id, avoided)
        answer = [number, *astuple(told)]
        self._datagrams.send(Kind.ASSIGNED, answer, [sender])


class AssignmentClient:
    """Asks schedulers."""

    def __init__(self, board: EngineBoard, schedulers: SchedulerSet) -> None:
        """Keep the board, for what this node believes of engines, and the schedulers."""
        self._board = board
        self._schedulers = schedulers
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[Assignment]] = {}
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to ask."""
        self._datagrams = datagrams
        datagrams.handle(Kind.ASSIGNED, self._take)

    async def ask(
        self, demand: Demand, tried: Collection[str], attempt_id: str
    ) -> Selection | None:
        """Return what a scheduler selects, or None if this node has to choose alone."""
        address = self._schedulers.first(demand.service)
        if address is None or self._datagrams is None:
            return None
        told = await self._answer(address, demand, tried, attempt_id)
        if told is None:
            self._schedulers.avoid(address)
            return None
        if told.overload is not None:
            return Selection(None, told.overload)
        usable = self._board.candidates(demand.service, tried)
        state = next((each for each in usable if each.entry.engine_id == told.engine_id), None)
        if state is None:
            return None
        source = self._board.find(told.source_id) if told.source_id else None
        return Selection(Choice(state, source, told.fetched_tokens, attempt_id, address))

    async def _answer(
        self, address: str, demand: Demand, tried: Collection[str], attempt_id: str
    ) -> Assignment | None:
        """Return a scheduler's answer, or None if it does not come in time."""
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        avoided = self._board.avoided(demand.service)
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
            fut.set_result(_assignment(told))


def _assignment(row: list) -> Assignment:
    """Return an answer from what travelled; an overload travels as a list of its fields."""
    engine_id, source_id, fetched_tokens, overload = row
    refusal = None if overload is None else Overload(*overload)
    return Assignment(engine_id, source_id, fetched_tokens, refusal)


def _demand_row(demand: Demand) -> list:
    """Return a demand as it travels, in the order of the record's fields."""
    return [
        demand.request_id,
        demand.service,
        demand.place,
        demand.priority,
        demand.target_s,
        demand.prompt_tokens,
        prompt_rows.to_rows(demand.prompt_parts),
        demand.fetches,
    ]


def _demand(row: list) -> Demand:
    """Return a demand from what travelled."""
    request_id, service, place, priority, target_s, prompt_tokens, parts, fetches = row
    return Demand(
        request_id,
        service,
        place,
        priority,
        target_s,
        prompt_tokens,
        prompt_rows.from_rows(parts),
        fetches,
    )
