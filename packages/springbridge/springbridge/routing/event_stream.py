"""Server-sent events: splits a stream into complete events and reads their ids.

A stream can break within an event. Only complete events are passed on, so that another endpoint can
resume after the last of them; one of more than MAX_EVENT_BYTES comes in parts, so that no endpoint
decides how much memory an event takes. An event ends with an empty line; lines end with LF, CRLF or
CR. The table in docs/design/answer-ends.md says what the last bytes of a stream mean.
"""

import re
from dataclasses import dataclass

LINE_END = re.compile(rb"\r\n|\n|\r")
# Two line ends. A CR behind a line end of another kind may be half of a CRLF, so the byte after it
# decides.
END_OF_EVENT = re.compile(rb"\r\r|(?>\r\n|\n|\r)(?:\r\n|\n|\r(?=[^\n]))")
# Most bytes of an end of an event that can have arrived without deciding that it is one.
UNDECIDED_BYTES = 3
# Events that one call returns, as tens of thousands fit what a socket takes at once.
MAX_EVENTS_AT_ONCE = 256
# Bytes of one event that are kept until it is complete.
MAX_EVENT_BYTES = 256 << 10
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
ID_FIELD = b"id:"
# Beginnings of lines that take effect without an event: comments, and the time before a reconnect.
LINES_WITHOUT_EVENT = (b":", b"retry:")


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event, a part of a large one, or another block of lines, as it was sent.

    Attributes:
      event_id: Its id, None if it has none. Each part of an event has the id that stands in the
        first part.
      is_blank: Whether it is no event: it has only lines that take effect without one.
      begins: Whether this is the beginning of the event.
      ends: Whether this is the end of the event.
    """

    raw: bytes
    event_id: str | None
    is_blank: bool = False
    begins: bool = True
    ends: bool = True


class EventSplitter:
    """Splits the bytes of one stream into complete events, buffering incomplete ones.

    Attributes:
      has_more: Whether another call of feed() may return more events without more bytes.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.has_more = False
        self._rest = bytearray()
        self._searched = 0
        self._has_events = False
        self._has_returns = False
        self._unfinished: Event | None = None

    @property
    def rest(self) -> bytes:
        """Return the buffered bytes that do not form a complete event yet."""
        return bytes(self._rest)

    def is_inside_event(self) -> bool:
        """Return whether the buffered bytes are part of an event or line that has not ended."""
        if self._unfinished is not None:
            return True
        rest = self.rest if self._has_events else self.rest.removeprefix(BYTE_ORDER_MARK)
        *lines, torn = LINE_END.split(rest)
        return bool(torn) or any(
            line and not line.startswith(LINES_WITHOUT_EVENT) for line in lines
        )

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return events, and parts of a large one; see has_more."""
        self._rest += data
        self._has_returns = self._has_returns or b"\r" in data
        events, start = [], 0
        search_from = max(0, self._searched - UNDECIDED_BYTES)
        while len(events) < MAX_EVENTS_AT_ONCE:
            end = self._end_of_event(search_from)
            if end < 0:
                break
            events.append(self._complete(bytes(self._rest[start:end])))
            search_from = start = end
        del self._rest[:start]
        self.has_more = len(events) == MAX_EVENTS_AT_ONCE
        if self.has_more:
            self._searched = 0
            return events
        if len(self._rest) > MAX_EVENT_BYTES or (self._unfinished and self._rest):
            events += self._part()
        self._searched = len(self._rest)
        return events

    def last_lines(self) -> Event | None:
        """Return the buffered bytes as the end of a whole stream, None if there are none."""
        raw = self.rest
        self._rest.clear()
        return self._complete(raw) if raw else None

    def _end_of_event(self, start: int) -> int:
        """Return where the first event ends that ends behind some position, -1 if none does."""
        if self._has_returns:
            found = END_OF_EVENT.search(self._rest, start)
            return found.end() if found else -1
        # The usual case, which is several times as fast.
        found = self._rest.find(b"\n\n", start)
        return found + 2 if found >= 0 else -1

    def _complete(self, raw: bytes) -> Event:
        """Return the event, or the last part of one, that some bytes complete."""
        unfinished, self._unfinished = self._unfinished, None
        if unfinished is not None:
            return Event(raw, unfinished.event_id, begins=False)
        text = self._text(raw)
        event_id = _last_id(text)
        return Event(raw, event_id, event_id is None and _is_blank(text))

    def _part(self) -> list[Event]:
        """Return what is buffered of a large event, but for bytes that may begin its end."""
        end = len(self._rest) - UNDECIDED_BYTES
        if end <= 0:
            return []
        raw = bytes(self._rest[:end])
        del self._rest[:end]
        begun = self._unfinished
        if begun is None:
            self._unfinished = Event(raw, _last_id(self._text(raw)), ends=False)
            return [self._unfinished]
        return [Event(raw, begun.event_id, begins=False, ends=False)]

    def _text(self, raw: bytes) -> bytes:
        """Return the lines of an event, without the mark that may begin the stream."""
        is_first, self._has_events = not self._has_events, True
        return raw.removeprefix(BYTE_ORDER_MARK) if is_first else raw


def _last_id(text: bytes) -> str | None:
    """Return the id that some lines give an event: the last one counts. None if they give none."""
    before = max(text.rfind(b"\n" + ID_FIELD), text.rfind(b"\r" + ID_FIELD))
    if before < 0 and not text.startswith(ID_FIELD):
        return None
    start = before + 1 + len(ID_FIELD)
    end = LINE_END.search(text, start)
    value = text[start : end.start()] if end else text[start:]
    return value.strip().decode("latin-1")


def _is_blank(text: bytes) -> bool:
    """Return whether some lines take effect without an event."""
    lines = LINE_END.split(text) if b"\r" in text else text.split(b"\n")
    return not any(line and not line.startswith(LINES_WITHOUT_EVENT) for line in lines)
