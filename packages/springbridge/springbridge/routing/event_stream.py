"""Server-sent events: splits a stream into complete events and reads their ids.

A stream can break within an event. Only complete events are passed on, so that another endpoint can
resume after the last of them. An event ends with an empty line; lines end with LF, CRLF or CR. The
table in docs/design/answer-ends.md says what the last bytes of a stream mean.
"""

import re
from dataclasses import dataclass

LINE_END = re.compile(rb"\r\n|\n|\r")
# Two line ends. A CR behind a line end of another kind may be half of a CRLF, so the byte after it
# decides.
END_OF_EVENT = re.compile(rb"\r\r|(?>\r\n|\n|\r)(?:\r\n|\n|\r(?=[^\n]))")
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
ID_FIELD = b"id:"
# Beginnings of lines that take effect without an event: comments, and the time before a reconnect.
LINES_WITHOUT_EVENT = (b":", b"retry:")


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event, or other block of lines, as the endpoint sent it.

    Attributes:
      event_id: Its id, None if it has none.
      is_blank: Whether it is no event: it has only lines that take effect without one.
    """

    raw: bytes
    event_id: str | None
    is_blank: bool = False


class EventSplitter:
    """Splits the bytes of one stream into complete events, buffering incomplete ones."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._rest = b""
        self._has_events = False

    @property
    def rest(self) -> bytes:
        """Return the buffered bytes that do not form a complete event yet."""
        return self._rest

    def is_inside_event(self) -> bool:
        """Return whether the buffered bytes are part of an event or line that has not ended."""
        rest = self._rest if self._has_events else self._rest.removeprefix(BYTE_ORDER_MARK)
        *lines, torn = LINE_END.split(rest)
        return bool(torn) or any(
            line and not line.startswith(LINES_WITHOUT_EVENT) for line in lines
        )

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        waiting = self._rest + data
        if b"\r" in waiting:
            raws, self._rest = _split_at_any_line_end(waiting)
        else:
            # The usual case, which this path handles in two thirds of the time.
            *whole, self._rest = waiting.split(b"\n\n")
            raws = [raw + b"\n\n" for raw in whole]
        if raws and not self._has_events:
            self._has_events = True
            first, *others = raws
            return [_event(first, first.removeprefix(BYTE_ORDER_MARK)), *map(_event, others)]
        return [_event(raw) for raw in raws]


def _split_at_any_line_end(waiting: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete events in some bytes, and the rest."""
    start, raws = 0, []
    for end in END_OF_EVENT.finditer(waiting):
        raws.append(waiting[start : end.end()])
        start = end.end()
    return raws, waiting[start:]


def _event(raw: bytes, text: bytes | None = None) -> Event:
    """Return an event with its id; if there are several id fields, the last one counts.

    Args:
      text: Its lines if they are not those of raw.
    """
    event_id = None
    text = raw if text is None else text
    lines = LINE_END.split(text) if b"\r" in text else text.split(b"\n")
    for line in lines:
        if line.startswith(ID_FIELD):
            event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
    is_blank = event_id is None and not any(
        line and not line.startswith(LINES_WITHOUT_EVENT) for line in lines
    )
    return Event(raw, event_id, is_blank)
