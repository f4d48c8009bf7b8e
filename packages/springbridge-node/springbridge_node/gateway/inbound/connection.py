"""A connection that a client has opened: what has arrived on it, within bounds.

One read is outstanding at most, also while a request is being served, so that the end of the
connection is noticed at once. What arrives is kept up to bounds, counted in the instance's budget,
and given up when others need the room.
"""

import asyncio
import itertools
import socket
from collections.abc import Callable
from enum import Enum, auto

from springbridge.byte_budget import ByteBudget
from springbridge.instance_limits import CONNECTION_BYTES
from tornado.iostream import IOStream, StreamClosedError

from springbridge_node.gateway.inbound.body_buffer import BodyBuffer
from springbridge_node.gateway.inbound.refusals import (
    ConnectionGoneError,
    RefusalKind,
    RefusedError,
)

# Maximum bytes taken from the socket in one read, after which other tasks have a turn.
READ_BYTES = 16 << 10
# Bytes that may wait behind a request that is being served. Requests without a body are below 1 KB.
MAX_AHEAD_BYTES = 64 << 10

_numbers = itertools.count()


class Phase(Enum):
    """What a connection is used for.

    IDLE: Waits for a request. HEAD, BODY: A request arrives. SERVING: It is being served. CLOSING:
    The last answer was sent, and what still arrives is discarded. CLOSED: It is closed.
    """

    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    SERVING = auto()
    CLOSING = auto()
    CLOSED = auto()


class InboundConnection:
    """A client's connection.

    Attributes:
      stream: The connection.
      remote_ip: IP number of the client.
      number: Its place in the order in which connections were accepted.
      phase: What it is used for.
      unread: What has arrived and was not read, in order.
      body: The body that arrives or is being served, if there is one.
      must_close: Whether no further request is read.
      closes_with_answer: Whether the next answer is the last one.
      discarded: Bytes that arrived and were not kept.
      answered: Requests that were answered.
      held_bytes: What it holds, as the budget was told last.
      began_s, progress_s: When its phase began, and when bytes arrived last, on the budget's clock.
      deadline_s: When the body must be whole, on the monotonic clock; None without such a time.
      on_gone: Called once when the connection ends while a request is being served.
      on_evicted: Called with the reason when something is given up without an answer.
    """

    def __init__(self, stream: IOStream, remote_ip: str, budget: ByteBudget) -> None:
        """Take over a connection that was accepted."""
        self.stream = stream
        self.remote_ip = remote_ip
        self.number = next(_numbers)
        self.phase = Phase.IDLE
        self.unread = bytearray()
        self.body: BodyBuffer | None = None
        self.must_close = False
        self.closes_with_answer = False
        self.discarded = 0
        self.answered = 0
        self.held_bytes = 0
        self.began_s = self.progress_s = budget.now_s
        self.deadline_s: float | None = None
        self.on_gone: Callable[[], None] | None = None
        self.on_evicted: Callable[[RefusalKind], None] | None = None
        self._budget = budget
        self._unsent_bytes = 0
        self._is_reading = False
        self._arrived_at_once = False
        self._arrivals = 0
        self._refused: RefusalKind | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.update_held()

    def enter(self, phase: Phase) -> None:
        """Begin a phase; after a refusal, what still arrives can be received again.

        Raises:
          ConnectionGoneError: The connection is closed.
        """
        if self.phase is Phase.CLOSED:
            raise ConnectionGoneError
        self.phase = phase
        self._refused = None
        self.began_s = self.progress_s = self._budget.now_s

    async def receive(self) -> None:
        """Wait until more bytes have arrived behind the unread ones.

        Raises:
          ConnectionGoneError: The connection has ended.
          RefusedError: It took too long, or the bytes were given up.
        """
        if self._arrived_at_once:
            arrivals = self._arrivals
            # Awaiting bytes that are there already does not let other tasks run.
            await asyncio.sleep(0)
            if self._arrivals != arrivals:
                return
        self.check()
        self._waiter = asyncio.get_running_loop().create_future()
        self._read_more()
        self._arrived_at_once = self._waiter.done()
        try:
            await self._waiter
        finally:
            self._waiter = None
        self.check()

    def check(self) -> None:
        """Raise what has ended the reading; see receive()."""
        # The errors are made anew: one that is kept would keep the frames that it went through.
        if self.phase is Phase.CLOSED:
            raise ConnectionGoneError
        if self._refused is not None:
            raise RefusedError(self._refused)

    def watch(self) -> None:
        """Read on while a request is being served, so that the end of the connection is noticed."""
        self._read_more()

    def fail(self, kind: RefusalKind) -> None:
        """End the reading of a request, whose bytes are given up."""
        self.unread.clear()
        if self.body is not None:
            self.body.clear()
        self.update_held()
        self._refused = self._refused or kind
        self._wake()

    def close(self) -> None:
        """Close the connection, unless it was handed over."""
        if self.phase is Phase.CLOSED:
            return
        self.phase = Phase.CLOSED
        self.unread.clear()
        self.body = None
        self._budget.resize(self, 0)
        self.stream.close()
        self._wake()

    def detach(self) -> IOStream:
        """Hand the connection over, between a head and what follows it; no read is outstanding."""
        self.phase = Phase.CLOSED
        self.must_close = True
        self._budget.resize(self, 0)
        return self.stream

    def update_held(self) -> None:
        """Tell the budget what the connection holds, unless it is closed."""
        if self.phase is Phase.CLOSED:
            return
        ahead = max(0, len(self.unread) - READ_BYTES)
        body = len(self.body) if self.body is not None else 0
        self._budget.resize(self, CONNECTION_BYTES + ahead + body + self._unsent_bytes)

    def add_unsent(self, size: int) -> None:
        """Count bytes of an answer that wait for the client to read; less if negative."""
        self._unsent_bytes += size
        self.update_held()

    def evictable_bytes(self) -> int:
        """Return how many bytes evict() would set free; see byte_budget.Holder."""
        if self._refused is not None or self.phase is Phase.CLOSED:
            return 0
        if self.phase is not Phase.SERVING:
            return self.held_bytes
        if self._unsent_bytes:
            return self.held_bytes
        return len(self.unread)

    def evict(self) -> None:
        """Give up what can be given up."""
        if self.phase in (Phase.HEAD, Phase.BODY):
            self.fail(RefusalKind.NO_ROOM)
        elif self.phase is not Phase.SERVING:
            self.give_up(RefusalKind.NO_ROOM)
        elif self._unsent_bytes:
            self.give_up(RefusalKind.UNREAD_ANSWER)
        else:
            self._discard_ahead()

    def give_up(self, kind: RefusalKind) -> None:
        """Report why the connection is closed without a further answer, and close it."""
        self._log_eviction(kind)
        self.close()

    def end_sending(self) -> None:
        """End this side of the connection, so that the client sees the end of its last answer.

        Raises:
          ConnectionGoneError: The connection has ended.
        """
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError) as exc:
            # The client has reset it, or it was closed here; nothing more can be sent.
            raise ConnectionGoneError from exc

    def _log_eviction(self, kind: RefusalKind) -> None:
        """Report that the connection is closed for others."""
        if self.on_evicted is not None:
            self.on_evicted(kind)

    def _read_more(self) -> None:
        """Begin a read unless one is outstanding or the connection has ended."""
        if self._is_reading or self.phase is Phase.CLOSED:
            return
        self._is_reading = True
        try:
            reading = self.stream.read_bytes(READ_BYTES, partial=True)
        except (StreamClosedError, OSError):
            # How it ended makes no difference: no answer can be sent.
            self._ended()
            return
        if reading.done():
            self._read(reading)
        else:
            reading.add_done_callback(self._read)

    def _read(self, reading: asyncio.Future[bytes]) -> None:
        """Take what a read brought, or the end of the connection."""
        self._is_reading = False
        if reading.cancelled() or reading.exception() is not None:
            self._ended()
            return
        self._arrived(reading.result())

    def _arrived(self, data: bytes) -> None:
        """Keep bytes, or discard them where nobody will read them."""
        self._arrivals += 1
        self.progress_s = self._budget.now_s
        if self.must_close and self.phase in (Phase.SERVING, Phase.CLOSING):
            self.discarded += len(data)
        else:
            self.unread += data
            if len(self.unread) > READ_BYTES:
                self.update_held()
        if self.phase is Phase.SERVING:
            self._bound_ahead()
            # Not at once: other connections have a turn between two reads.
            asyncio.get_running_loop().call_soon(self._read_more)
        self._wake()

    def _bound_ahead(self) -> None:
        """Stop to keep what a client sends ahead if that is too much."""
        if len(self.unread) > MAX_AHEAD_BYTES:
            self._discard_ahead()

    def _discard_ahead(self) -> None:
        """Discard what was sent ahead, and close the connection after the answer."""
        self._log_eviction(RefusalKind.SENT_AHEAD)
        self.must_close = True
        self.discarded += len(self.unread)
        self.unread.clear()
        self.update_held()

    def _ended(self) -> None:
        """Take note that the connection has ended; nothing that arrived on it is served."""
        is_serving = self.phase is Phase.SERVING
        self.close()
        if is_serving and self.on_gone is not None:
            on_gone, self.on_gone = self.on_gone, None
            on_gone()

    def _wake(self) -> None:
        """Let receive() go on."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
