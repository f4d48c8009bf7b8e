"""At most once: the record that the home of a request keeps of it.

Only the home runs a request that is not repeatable. begin_dispatch checks and records in one step
without a pause in between, before the first byte leaves, so no order of events lets two attempts
start. A request that was once refused, or handed to another node, stays refused here for ever; its
record is kept KEEP_S, and ids issued longer ago than that are turned away unread.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from returns.result import Failure, Result, Success

from springbridge.classes.invariants import Invariants
from springbridge.classes.request_ids import RequestId
from springbridge.codes import Code
from springbridge.problems import Problem

KEEP_S = 600.0
ISSUED_SLACK_S = 60.0
INVARIANT_AT_MOST_ONCE = "not repeatable runs at most once"
INVARIANT_NOT_RUN = "not run means never dispatched"


class Stage(IntEnum):
    """How far a request has come at its home."""

    UNSEEN = 0
    WAITING = 1
    DISPATCHED = 2
    FINISHED = 3
    REFUSED = 4
    MOVED = 5


@dataclass
class Record:
    """What a home knows of one request.

    Attributes:
      owner: Customer and class of the first sender; a second sender must be the same.
      moved_to: Incarnation of the node that became home instead, in stage MOVED.
      dispatches: Attempts that may have reached an endpoint and were not turned away by it.
      problem: The final problem, where the request ended with one.
      fresh: Whether nobody has begun to work on the request.
      running: Attempts of a repeatable request that are under way.
    """

    owner: str
    stage: Stage
    touched_s: float
    moved_to: str = ""
    dispatches: int = 0
    problem: Problem | None = None
    fresh: bool = True
    running: int = 0


class Bindings:
    """The records of all requests that this node is the home of."""

    def __init__(
        self,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        invariants: Invariants,
    ):
        """Start with no records.

        Args:
          clock: Monotonic time in seconds.
          wall_clock: Seconds since 1970, compared with the time in an id.
        """
        self._clock = clock
        self._wall_clock = wall_clock
        self._invariants = invariants
        self._records: OrderedDict[str, Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def admit(self, request_id: RequestId, owner: str) -> Result[Record, Problem]:
        """Record a request that arrived here, or return the record it has already.

        Args:
          owner: Customer and class of the sender.
        """
        self._forget_old()
        record = self._records.get(request_id.text)
        if record is None:
            if self._too_old(request_id):
                return Failure(Problem(Code.REQUEST_ID_TOO_OLD))
            return Success(self._add(request_id.text, owner, Stage.WAITING))
        if record.owner not in (owner, ""):
            return Failure(Problem(Code.REQUEST_ID_REUSED))
        return Success(record)

    def hand_over(self, request_id: RequestId, owner: str, node: str) -> Result[Record, Problem]:
        """Answer a node that holds a retry: a request never seen here is handed over for good."""
        self._forget_old()
        record = self._records.get(request_id.text)
        if record is None:
            if self._too_old(request_id):
                return Failure(Problem(Code.REQUEST_ID_TOO_OLD))
            record = self._add(request_id.text, owner, Stage.MOVED)
            record.moved_to = node
        elif record.owner not in (owner, ""):
            return Failure(Problem(Code.REQUEST_ID_REUSED))
        return Success(record)

    def find(self, request_id: str) -> Record | None:
        """Return the record of a request, or None."""
        return self._records.get(request_id)

    def begin_dispatch(self, request_id: str) -> Result[None, Problem]:
        """Record that an attempt is about to leave for an endpoint, or refuse it."""
        record = self._records[request_id]
        if record.stage is not Stage.WAITING:
            return Failure(record.problem or Problem(Code.OUTCOME_UNKNOWN))
        record.stage = Stage.DISPATCHED
        record.dispatches += 1
        self._invariants.check(INVARIANT_AT_MOST_ONCE, record.dispatches == 1, request_id)
        return Success(None)

    def undo_dispatch(self, request_id: str) -> None:
        """Record that the endpoint turned the attempt away before it started."""
        record = self._records[request_id]
        record.stage = Stage.WAITING
        record.dispatches -= 1

    def finish(self, request_id: str, problem: Problem | None) -> None:
        """Record the end of a request."""
        record = self._records[request_id]
        self._touch(request_id, record)
        record.problem = problem
        if problem is not None and problem.not_run:
            self._invariants.check(INVARIANT_NOT_RUN, record.dispatches == 0, request_id)
            record.stage = Stage.REFUSED
        else:
            record.stage = Stage.FINISHED

    def refuse(self, request_id: RequestId, owner: str) -> bool:
        """Record that a request is refused for ever; return whether that can be promised.

        It cannot where the request is under way here or has ended in another way.
        """
        match self.admit(request_id, owner):
            case Success(record) if record.stage is Stage.REFUSED:
                return True
            case Success(record) if record.stage is Stage.WAITING and record.fresh:
                record.stage = Stage.REFUSED
                record.fresh = False
                return True
        return False

    def open_repeatable(self, request_id: RequestId, owner: str) -> Result[None, Problem]:
        """Record that a repeatable request starts here; one that was refused stays refused."""
        match self.admit(request_id, owner):
            case Failure(problem):
                return Failure(problem)
            case Success(record):
                if record.stage is Stage.REFUSED:
                    return Failure(Problem(Code.REFUSED_BEFORE))
                record.fresh = False
                record.running += 1
                return Success(None)

    def close_repeatable(self, request_id: str, problem: Problem | None) -> bool:
        """Record how a repeatable request ended; return whether its problem stands as it is.

        "Not run" does not stand where another attempt under the same id has run or still may.
        """
        record = self._records[request_id]
        record.running -= 1
        self._touch(request_id, record)
        if problem is None or not problem.not_run:
            record.stage = Stage.FINISHED
            return True
        if record.running or record.stage is Stage.FINISHED:
            return False
        record.stage = Stage.REFUSED
        return True

    def _add(self, request_id: str, owner: str, stage: Stage) -> Record:
        record = Record(owner, stage, self._clock())
        self._records[request_id] = record
        return record

    def _too_old(self, request_id: RequestId) -> bool:
        """Return whether the record of the id may have been forgotten already."""
        if not request_id.home:
            return False
        age_s = self._wall_clock() - request_id.issued_s
        return not -ISSUED_SLACK_S <= age_s <= KEEP_S - ISSUED_SLACK_S

    def _forget_old(self) -> None:
        """Drop records that ended long enough ago, oldest first."""
        limit_s = self._clock() - KEEP_S
        while self._records:
            name, record = next(iter(self._records.items()))
            if record.touched_s > limit_s:
                return
            if record.running or record.stage in (Stage.WAITING, Stage.DISPATCHED):
                self._touch(name, record)
            else:
                del self._records[name]

    def _touch(self, name: str, record: Record) -> None:
        """Count a record's age from now on."""
        record.touched_s = self._clock()
        self._records.move_to_end(name)
