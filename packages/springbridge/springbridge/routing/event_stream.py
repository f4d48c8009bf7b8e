"""Server-sent events: cutting a stream into whole events and reading their ids.

A stream may be cut off within an event. Only whole events are handed on, so that another endpoint
can go on after the last of them.
"""

from dataclasses import dataclass

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event as the endpoint sent it, and its id where it has one."""

    raw: bytes
    event_id: str | None


class EventSplitter:
    """Cuts the bytes of a stream into whole events."""

    def __init__(self) -> None:
        """Start with no bytes."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes that do not make a whole event yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes and return the events that they complete."""
        *whole, self._rest = (self._rest + data).split(END_OF_EVENT)
        return [_event(raw + END_OF_EVENT) for raw in whole]


def _event(raw: bytes) -> Event:
    """Return an event with its id."""
    event_id = None
    for line in raw.split(b"\n"):
        if line.startswith(ID_FIELD):
            event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
    return Event(raw, event_id)
