"""Relays a stream event by event, and goes on with one that another endpoint began.

An incomplete event is dropped if the stream breaks, so that another endpoint can go on behind the
last complete one. `springbridge.routing.continuation` decides which events of a later answer the
caller gets, and whether that answer goes on with the stream at all.
"""

import asyncio
from collections.abc import Callable, Sequence

from springbridge.routing import continuation
from springbridge.routing.continuation import NOTHING_READ, Misfit, Placement, Reading
from springbridge.routing.event_stream import BYTE_ORDER_MARK, Event, EventSplitter

from springbridge_node import clock
from springbridge_node.gateway.http.answer_end import DOUBTFUL_ENDS, AnswerBrokenError, AnswerEnd
from springbridge_node.gateway.requests.answer_start import start_answer
from springbridge_node.gateway.requests.endpoint_answer import EndpointAnswer, check_end
from springbridge_node.gateway.requests.exchange import Exchange, Progress
from springbridge_node.gateway.requests.request_codec import RequestCodec


class NoContinuationError(Exception):
    """An answer does not go on with the stream whose beginning the caller has.

    Attributes:
      misfit: Why it does not.
    """

    def __init__(self, misfit: Misfit) -> None:
        super().__init__(misfit.value)
        self.misfit = misfit


class EventRelay:
    """Relays the events of one answer; each piece of the answer is written before the next."""

    def __init__(
        self,
        exchange: Exchange,
        answer: EndpointAnswer,
        codec: RequestCodec,
        on_first_event: Callable[[], None],
    ) -> None:
        """Keep the parts.

        Args:
          on_first_event: Called before the caller gets the first event of the stream.
        """
        self._exchange = exchange
        self._answer = answer
        self._codec = codec
        self._on_first_event = on_first_event
        self._splitter = EventSplitter()
        # Whether the caller has events that this answer has to go on behind.
        self._goes_on = exchange.progress.position.resume_after is not None
        # Whether the next event is the first of a later answer.
        self._is_joint = exchange.answer.started
        self._reading: Reading = NOTHING_READ

    async def run(self) -> None:
        """Relay the whole answer.

        One whose last event has only its last empty line missing is passed on where chunks or a
        length say that the stream is whole.

        Raises:
          AnswerBrokenError: The stream ended early.
          NoContinuationError: The answer does not go on with what the caller has.
          CallerGoneError: The caller has closed its connection.
        """
        progress = self._exchange.progress
        async for piece in self._answer.pieces():
            await self._relay(self._splitter.feed(piece))
            while self._splitter.has_more:
                # No other await lets other tasks run while both ends are fast.
                await asyncio.sleep(0)
                await self._relay(self._splitter.feed(b""))
        progress.answer_end = await self._check_end()
        last_lines = self._splitter.last_lines()
        await self._relay([] if last_lines is None else [last_lines])
        _raise_misfit(self._end_misfit())
        if not self._exchange.answer.started:
            await self._write(b"")

    async def _check_end(self) -> AnswerEnd:
        """Return how the answer ended, and note if it is in doubt whether the stream ends there.

        Raises:
          AnswerBrokenError: It was broken off, or may have been.
        """
        try:
            return await check_end(self._answer, self._splitter.is_inside_event())
        except AnswerBrokenError as exc:
            if exc.end in DOUBTFUL_ENDS and self._end_misfit() is None:
                self._exchange.progress.may_be_whole = True
            raise

    def _end_misfit(self) -> Misfit | None:
        """Return why the answer cannot end the caller's stream where it ends, None if it can."""
        if not self._goes_on:
            return None
        return continuation.end_misfit(self._exchange.progress.position, self._reading)

    async def _relay(self, events: Sequence[Event]) -> None:
        """Send the caller those events that it does not have.

        Raises:
          NoContinuationError: One of them does not go on with what the caller has; the events
            before it were sent.
        """
        if events:
            _note_answer_began(self._exchange.progress)
        raws, misfit = [], None
        for event in events:
            placed = self._place(event)
            if isinstance(placed, Misfit):
                misfit = placed
                break
            if placed is Placement.NEW:
                raws.append(self._raw(event))
                self._note_sent(event)
        if raws:
            await self._write(b"".join(raws))
        _raise_misfit(misfit)

    def _place(self, event: Event) -> Placement | Misfit:
        """Return whether the caller gets an event; all of those are new that begin a stream."""
        if not self._goes_on:
            return Placement.NEW
        found = continuation.place(self._exchange.progress.position, self._reading, event)
        if isinstance(found, Misfit):
            return found
        self._reading = found
        return found.placement

    def _raw(self, event: Event) -> bytes:
        """Return the bytes of an event, without a mark that only begins a stream."""
        is_joint, self._is_joint = self._is_joint, False
        return event.raw.removeprefix(BYTE_ORDER_MARK) if is_joint else event.raw

    def _note_sent(self, event: Event) -> None:
        """Record that the caller gets an event."""
        progress = self._exchange.progress
        progress.position = continuation.position_after(progress.position, event)
        progress.may_be_whole = progress.may_be_whole and event.is_blank
        if progress.event_sent:
            return
        progress.only_blank = event.is_blank
        if not event.is_blank:
            progress.event_sent = True
            self._on_first_event()

    async def _write(self, data: bytes) -> None:
        """Send a piece of the stream to the caller, preceded by the head if it is the first."""
        exchange = self._exchange
        if exchange.answer.started:
            exchange.progress.note_piece_relayed(clock.now_s())
            await exchange.answer.write(data)
        else:
            await start_answer(exchange, self._answer.head, self._codec, data, None)


def _note_answer_began(progress: Progress) -> None:
    """Record that the endpoint writes events, so that it has read the prompt."""
    if progress.answer_began_s is None:
        progress.answer_began_s = clock.now_s()
    if progress.load is not None:
        progress.load.prompt_read()


def _raise_misfit(misfit: Misfit | None) -> None:
    """Raise the error for a misfit, unless there is none."""
    if misfit is not None:
        raise NoContinuationError(misfit)
