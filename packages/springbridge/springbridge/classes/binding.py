"""At-most-once execution: records how far each request has come at its home node.

A request that is not repeatable may run only at its home, the node that its id names, so that a
retry never runs it twice.
Decides whether an attempt of such a request may be sent to an endpoint, and whether the caller may
be promised that the request was not run.
Inputs: the request id, the sender's customer and class, the home's record of the id, and two clocks
in seconds.
Result: the attempt is recorded as dispatched, or refused with a Problem.
begin_dispatch checks and records in one step without yielding to the event loop, before the first
byte is sent, so no order of events lets two attempts start. A request that was refused once, or
handed over to another node, stays refused here for good. Its record is kept for KEEP_S; an id so
old that its record may be gone is refused because of its age. Alternatives are discussed in
docs/design/at-most-once.md.
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

# How long the record of an ended request is kept. A record takes 297 B, so 22 requests a second
# take 3.9 MB.
KEEP_S = 600.0
# Tolerated error of the wall clock by which the age of an id is computed. An id is refused once it
# is older than KEEP_S less this tolerance, so before its record can have been dropped.
ISSUED_SLACK_S = 60.0

INVARIANT_AT_MOST_ONCE = "not repeatable runs at most once"
INVARIANT_NOT_RUN = "not run means never dispatched"

assert ISSUED_SLACK_S < KEEP_S, "ISSUED_SLACK_S must be below KEEP_S, or a new id counts as too old"


class Stage(IntEnum):
    """Stage of a request at its home; the numbers are sent to peers.

    Attributes:
      WAITING: No attempt has been sent to an endpoint.
      DISPATCHED: An attempt may have reached an endpoint.
      FINISHED: The request ended and may have run.
      REFUSED: The caller was promised that the request was not run, so it never will be.
      MOVED: Another node became its home.
    """

    WAITING = 1
    DISPATCHED = 2
    FINISHED = 3
    REFUSED = 4
    MOVED = 5


@dataclass
class Record:
    """A home node's record of one request.

    Attributes:
      owner: Customer and class of the first sender; later senders must match. An empty owner, from
        a peer that sent none, matches any sender.
      last_used_s: When the record was last used, on the monotonic clock; its age counts from then.
      moved_to: In stage MOVED, the incarnation of the node that has become the home.
      dispatches: Attempts that may have reached an endpoint and that it did not reject.
      problem: The final problem; None if the request has not ended or ended without one.
      fresh: Whether no work on the request has begun.
      running: Attempts of a repeatable request that are under way.
    """

    owner: str
    stage: Stage
    last_used_s: float
    moved_to: str = ""
    dispatches: int = 0
    problem: Problem | None = None
    fresh: bool = True
    running: int = 0


class RequestRecords:
    """The records of all requests whose home is this node."""

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
        """Return the record of a request that arrived here, adding it if there is none.

        Args:
          owner: Customer and class of the sender.
        Returns:
          The record, REQUEST_ID_TOO_OLD, or REQUEST_ID_REUSED if another sender used the id.
        """
        return self._find_or_add(request_id, owner, Stage.WAITING)

    def hand_over(self, request_id: RequestId, owner: str, node: str) -> Result[Record, Problem]:
        """Return the record for another node that got a retry of the request.

        If this node has never seen the request, the other node becomes its home for good.

        Args:
          node: Incarnation of the node that got the retry.
        Returns:
          As for admit().
        """
        return self._find_or_add(request_id, owner, Stage.MOVED, node)

    def find(self, request_id: str) -> Record | None:
        """Return the record of a request, or None."""
        return self._records.get(request_id)

    def begin_dispatch(self, request_id: str) -> Result[None, Problem]:
        """Record that an attempt is about to be sent to an endpoint, or refuse it."""
        record = self._records[request_id]
        if record.stage is not Stage.WAITING:
            return Failure(record.problem or Problem(Code.OUTCOME_UNKNOWN))
        record.stage = Stage.DISPATCHED
        record.dispatches += 1
        self._invariants.check(INVARIANT_AT_MOST_ONCE, record.dispatches == 1, request_id)
        return Success(None)

    def undo_dispatch(self, request_id: str) -> None:
        """Record that the endpoint rejected the attempt before starting it."""
        record = self._records[request_id]
        record.stage = Stage.WAITING
        record.dispatches -= 1

    def finish(self, request_id: str, problem: Problem | None) -> None:
        """Record the end of a request."""
        record = self._records[request_id]
        self._mark_used(request_id, record)
        record.problem = problem
        if problem is not None and problem.not_run:
            self._invariants.check(INVARIANT_NOT_RUN, record.dispatches == 0, request_id)
            record.stage = Stage.REFUSED
        else:
            record.stage = Stage.FINISHED

    def refuse(self, request_id: RequestId, owner: str) -> bool:
        """Refuse a request for good, if no work on it has begun.

        Returns:
          Whether the caller may be promised that it was not run; False if it is running or has
          ended in another way.
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
        """Record that a repeatable request starts here, unless it was refused before."""
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
        """Record how a repeatable request ended.

        Returns:
          Whether its problem may be passed on. A problem that promises "not run" may not if another
          attempt under the same id has run or may still run.
        """
        record = self._records[request_id]
        record.running -= 1
        self._mark_used(request_id, record)
        if problem is None or not problem.not_run:
            record.stage = Stage.FINISHED
            return True
        if record.running or record.stage is Stage.FINISHED:
            return False
        record.stage = Stage.REFUSED
        return True

    def _find_or_add(
        self, request_id: RequestId, owner: str, stage: Stage, moved_to: str = ""
    ) -> Result[Record, Problem]:
        """Return the record of an id; add one in the given stage if there is none."""
        self._forget_old()
        record = self._records.get(request_id.text)
        if record is None:
            if self._too_old(request_id):
                return Failure(Problem(Code.REQUEST_ID_TOO_OLD))
            record = Record(owner, stage, self._clock(), moved_to)
            self._records[request_id.text] = record
        elif record.owner not in (owner, ""):
            return Failure(Problem(Code.REQUEST_ID_REUSED))
        return Success(record)

    def _too_old(self, request_id: RequestId) -> bool:
        """Return whether the record of the id may have been dropped, judged by the wall clock."""
        if not request_id.home:
            return False
        age_s = self._wall_clock() - request_id.issued_s
        return not -ISSUED_SLACK_S <= age_s <= KEEP_S - ISSUED_SLACK_S

    def _forget_old(self) -> None:
        """Drop the records of requests that ended KEEP_S ago or earlier, oldest first."""
        limit_s = self._clock() - KEEP_S
        while self._records:
            name, record = next(iter(self._records.items()))
            if record.last_used_s > limit_s:
                return
            if record.running or record.stage in (Stage.WAITING, Stage.DISPATCHED):
                self._mark_used(name, record)
            else:
                del self._records[name]

    def _mark_used(self, name: str, record: Record) -> None:
        """Restart a record's age; the dict stays ordered by last use."""
        record.last_used_s = self._clock()
        self._records.move_to_end(name)
