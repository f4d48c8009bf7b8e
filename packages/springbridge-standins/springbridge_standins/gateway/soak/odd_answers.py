"""Answers of the soak's engines that are none: without end, with broken heads, no rest of a stream.

They have their own random generator, so that the other faults of a seed stay the same.
"""

import random
from collections import Counter

from springbridge_standins.gateway.broken_heads import BROKEN_HEADS
from springbridge_standins.gateway.endless import ENDLESS
from springbridge_standins.gateway.soak.engine import event_count, stream_event
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.unfit import UNFIT
from springbridge_standins.http_wire import Connection, RawRequest

# Share of requests to go on with a stream that get something else.
UNFIT_SHARE = 0.4
# Share of requests whose answer does not end, one at a time: all engines are in one process, which
# also has the callers.
ENDLESS_SHARE = 0.02
# Share of requests whose answer has a broken head.
BROKEN_SHARE = 0.03
# Kinds that do not end, but for one whose beginning is a whole answer.
ENDLESS_KINDS = tuple(kind for kind in ENDLESS if kind != "bytes behind an answer")
# Kinds that are no rest, but for one that adds lines without an event: callers may get these.
UNFIT_KINDS = tuple(kind for kind in UNFIT if kind != "a comment")
# Names of the counts.
UNFIT_COUNT, ENDLESS_COUNT = "answers that are no rest", "answers without end"
BROKEN_COUNT = "answers with broken heads"


class OddAnswers:
    """Draws which answers of all engines are odd, and sends them."""

    def __init__(self, soak: Soak, rng: random.Random, counts: Counter) -> None:
        """Keep the parts; `counts` gets the number of answers of each sort."""
        self._soak = soak
        self._rng = rng
        self._counts = counts
        self._is_sending = False
        # Of its own, so that what else is drawn stays the same.
        self._broken_rng = random.Random(repr(rng.getstate()))

    def draw_broken(self) -> str | None:
        """Return which broken head is due, None for another answer."""
        if self._broken_rng.random() >= BROKEN_SHARE:
            return None
        return self._broken_rng.choice(tuple(BROKEN_HEADS))

    async def send_broken(self, kind: str, request: RawRequest, connection: Connection) -> None:
        """Send an answer with a broken head, and close the connection."""
        self._counts[BROKEN_COUNT] += 1
        self._soak.stamp("broken head", kind=kind, request_id=request.request_id)
        await BROKEN_HEADS[kind].script()(request, connection)
        connection.close()

    def draw_endless(self) -> str | None:
        """Return the kind of answer without end that is due, None for another answer."""
        if self._is_sending or self._rng.random() >= ENDLESS_SHARE:
            return None
        return self._rng.choice(ENDLESS_KINDS)

    async def send_endless(self, kind: str, request: RawRequest, connection: Connection) -> None:
        """Send an answer without end, until the connection is closed."""
        self._counts[ENDLESS_COUNT] += 1
        self._soak.endless.add(request.request_id)
        self._soak.stamp("answer without end", kind=kind, request_id=request.request_id)
        self._is_sending = True
        try:
            await ENDLESS[kind](request, connection)
        finally:
            self._is_sending = False

    def draw_unfit(self, request: RawRequest) -> bytes | None:
        """Return an answer that is no rest of a stream, None where another answer is due.

        Where no two events are left, one that is missing could not be seen.
        """
        first = int(request.headers.get("last-event-id", "0")) + 1
        last = event_count(request.request_id)
        if first == 1 or first >= last or self._rng.random() >= UNFIT_SHARE:
            return None
        kind = self._rng.choice(UNFIT_KINDS)
        self._counts[UNFIT_COUNT] += 1
        self._soak.stamp("no rest", kind=kind, request_id=request.request_id)
        rest = [stream_event(request.request_id, number) for number in range(first, last + 1)]
        return UNFIT[kind](request.request_id, rest)
