"""Continuation: what may follow the part of a stream that a caller has.

Decides, for each later answer within one stream, whether it goes on with that stream, and which of
its events the caller gets. The caller has the head of the first answer, so no later one may say
anything that this head does not say.
Inputs: the head that the caller has and the later one; which events the caller has; the later
answer's events, one after another.
Result: a Placement for each event, or a Misfit, after which nothing more of the answer is used.

| the later answer                                              | result                          |
| ------------------------------------------------------------- | ------------------------------- |
| another status, no event stream, or an encoded body           | STATUS, CONTENT_TYPE, ENCODED   |
| lines that take effect without an event                       | NEW                             |
| an event that the caller has, by its id                       | HELD                            |
| the event after the caller's last one                         | NEW                             |
| a later event, while ids have risen by one                    | GAP                             |
| an event without an id, behind one with an id                 | as the one before it            |
| an event without an id before all others; an id of no number  | UNPLACED                        |
| an end before the caller's last event was reached             | SHORT                           |

An end without any event is one of the last kind: nothing in it tells that the stream has ended
there, and a stream that is cut off costs its caller less than half of one that looks whole. So
where an answer has ended in order and may have been the whole stream, the next endpoint is asked
for the caller's last event again: if nothing is left, it sends that event, and shows that it knows
where the caller is.
While the caller has no event, the stream begins anew: only the head of the later answer has to fit.
"""

from dataclasses import dataclass, replace
from enum import Enum, auto

from springbridge.routing.event_stream import Event

# Longest id that is read as a number, in digits. Ids of more are no counters.
MAX_ID_DIGITS = 18


class Misfit(Enum):
    """Why an answer does not go on with a stream; the values are logged and counted."""

    STATUS = "other status"
    CONTENT_TYPE = "no event stream"
    ENCODED = "encoded body"
    GAP = "events missing"
    UNPLACED = "event without place"
    SHORT = "ends before the last event"


class Placement(Enum):
    """Whether the caller gets an event of a later answer: it is new, or the caller holds it."""

    NEW = auto()
    HELD = auto()


@dataclass(frozen=True, slots=True)
class StreamHead:
    """The head of an answer, as far as it says what its body is.

    Attributes:
      is_event_stream: Whether its content type names events, or none is named.
      is_encoded: Whether its body is compressed or otherwise encoded.
    """

    status: int
    is_event_stream: bool = True
    is_encoded: bool = False

    @property
    def has_events(self) -> bool:
        """Return whether the body of this answer can be read as events."""
        return self.is_event_stream and not self.is_encoded


@dataclass(frozen=True, slots=True)
class Position:
    """How much of a stream a caller has.

    Attributes:
      last_id: Id of the last event with an id, None before.
      rises_by_one: Whether each id so far was the number after the one before it.
      is_named: Whether `last_id` names all that the caller has: the last event has an id, which is
        a number, and is complete.
      before_last: Id of the event with an id before that one, None if it is the first.
    """

    last_id: str | None = None
    rises_by_one: bool = True
    is_named: bool = False
    before_last: str | None = None

    @property
    def resume_after(self) -> str | None:
        """Return the id after which another endpoint can go on, None if there is none."""
        return self.last_id if self.is_named else None


START = Position()


@dataclass(frozen=True, slots=True)
class Reading:
    """How far a later answer has been read.

    Attributes:
      number: Number of its last event with an id, None before.
      placement: Placement of its last event.
    """

    number: int | None = None
    placement: Placement = Placement.HELD


NOTHING_READ = Reading()


def head_misfit(first: StreamHead, later: StreamHead) -> Misfit | None:
    """Return why an answer cannot follow the head that the caller has, None if it can."""
    if later.status != first.status:
        return Misfit.STATUS
    if not later.is_event_stream:
        return Misfit.CONTENT_TYPE
    return Misfit.ENCODED if later.is_encoded else None


def position_after(position: Position, event: Event) -> Position:
    """Return how much of a stream a caller has that gets one more event, or a part of one."""
    if event.is_blank:
        return position
    if event.event_id is None:
        return replace(position, is_named=False)
    number, last = id_number(event.event_id), id_number(position.last_id)
    is_named = event.ends and number is not None
    if not event.begins:
        return replace(position, is_named=is_named)
    is_next = position.last_id is None or (last is not None and number == last + 1)
    rises_by_one = position.rises_by_one and is_next
    return Position(event.event_id, rises_by_one, is_named, before_last=position.last_id)


def resume_after(position: Position, may_be_whole: bool) -> str | None:
    """Return the id after which another endpoint is asked to go on, None for from the beginning.

    Args:
      may_be_whole: Whether the stream may have ended at the caller's last event, which is then
        asked for again.
    """
    return position.before_last if may_be_whole else position.resume_after


def place(position: Position, reading: Reading, event: Event) -> Reading | Misfit:
    """Return how far a later answer is read with one more event, or why it does not go on.

    Args:
      position: How much of the stream the caller has, with the events of this answer so far.
    """
    if not event.begins:
        return reading
    if event.is_blank:
        return Reading(reading.number, Placement.NEW)
    if event.event_id is None:
        if reading.number is None:
            return Misfit.UNPLACED
        is_held = reading.number < id_number(position.last_id)
        return Reading(reading.number, Placement.HELD if is_held else Placement.NEW)
    number, last = id_number(event.event_id), id_number(position.last_id)
    if number is None:
        return Misfit.UNPLACED
    if number <= last:
        return Reading(number, Placement.HELD)
    if number > last + 1 and position.rises_by_one:
        return Misfit.GAP
    return Reading(number, Placement.NEW)


def end_misfit(position: Position, reading: Reading) -> Misfit | None:
    """Return why the end of a later answer is not the end of the stream, None if it is."""
    if reading.number is None or reading.number < id_number(position.last_id):
        return Misfit.SHORT
    return None


def id_number(event_id: str | None) -> int | None:
    """Return the number that an id is, None if it is none."""
    if event_id is None or not event_id.isdecimal() or len(event_id) > MAX_ID_DIGITS:
        return None
    return int(event_id)
