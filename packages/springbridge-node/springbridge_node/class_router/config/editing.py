"""Commits an operator's edit of the table: checked against the newest rows, then written once.

A lost reply is settled by the change id: repeating an edit under the same id changes nothing more.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime

from returns.result import Failure, Result, Success
from springbridge.classes.ports import MOVED_ON, TableStore
from springbridge.classes.table.changes import Change, Edit, Snapshot, check_edits
from springbridge.codes import Code
from springbridge.membership import Membership
from springbridge.problems import Problem

from springbridge_node import logs
from springbridge_node.class_router.config.config_sync import ConfigSync

# Tries to commit an edit that keeps losing races against edits of other rows.
COMMIT_TRIES = 5
# When an operator may try again while the table is out: two intervals of reading it.
OUTAGE_RETRY_S = 2.0


@dataclass(frozen=True)
class EditRequest:
    """What an operator asks for.

    Attributes:
      change_id: Chosen by the operator's command; a repeat with the same id changes nothing more.
      base_version: The version that the operator looked at.
      strict: Whether any change since base_version is a conflict, or only one of the same rows.
    """

    change_id: str
    who: str
    base_version: int
    strict: bool
    edits: tuple[Edit, ...]


class Editor:
    """Writes accepted changes to the platform's table."""

    def __init__(
        self,
        store: TableStore,
        config: ConfigSync,
        membership: Membership,
        announce: Callable[[], None],
    ):
        """Keep the ports.

        Args:
          announce: Sends a digest to all peers, so that they ask for a new version at once.
        """
        self._store = store
        self._config = config
        self._membership = membership
        self._announce = announce

    async def edit(self, request: EditRequest) -> Result[int, list[Problem]]:
        """Accept or refuse an edit.

        Returns:
          The version that the edit led to, or all the problems that were found.
        """
        if not self._membership.sees_majority():
            return Failure([Problem(Code.NO_MAJORITY)])
        for _ in range(COMMIT_TRIES):
            match await self._try_edit(request):
                case Success(version):
                    return Success(version)
                case Failure(problems) if problems != [MOVED_ON]:
                    return Failure(problems)
        return Failure([Problem(Code.VERSION_CONFLICT, "too many racing edits; try again")])

    async def _try_edit(self, request: EditRequest) -> Result[int, list[Problem]]:
        """Check the edit against the newest rows and write it."""
        match await self._store.find_change(request.change_id):
            case Success(Change() as done):
                return Success(done.version)
            case Failure(problem):
                return Failure([problem])
        await self._config.refresh()
        if self._config.confirmation.table_out:
            return Failure([Problem(Code.TABLE_UNAVAILABLE, retry_after_s=OUTAGE_RETRY_S)])
        snapshot = self._config.snapshot
        if request.strict and snapshot.version != request.base_version:
            return Failure([_not_the_base(request.base_version, snapshot)])
        match check_edits(snapshot, request.edits):
            case Failure(problems):
                return Failure(problems)
        change = _change(request, snapshot)
        match await self._store.commit(change):
            case Failure(problem):
                return Failure([problem])
        return await self._accepted(change, snapshot)

    async def _accepted(self, change: Change, before: Snapshot) -> Result[int, list[Problem]]:
        """Put an accepted change in force here and announce it.

        After a lost reply the change may have been accepted under a later version than asked for,
        so its audit record is read back and counts.
        """
        match await self._store.find_change(change.change_id):
            case Success(Change() as written):
                change = written
        if change.version == before.version + 1:
            self._config.apply_changes([change])
        else:
            await self._config.refresh()
        logs.event("table.accepted", version=change.version, who=change.who)
        self._announce()
        return Success(change.version)


def _not_the_base(base_version: int, snapshot: Snapshot) -> Problem:
    detail = f"the table is at version {snapshot.version}, your edit is based on {base_version}"
    return Problem(Code.VERSION_CONFLICT, detail, "table")


def _change(request: EditRequest, snapshot: Snapshot) -> Change:
    """Return the change that an edit leads to after a snapshot."""
    when = datetime.now(UTC).isoformat(timespec="milliseconds")
    return Change(snapshot.version + 1, request.change_id, request.who, when, request.edits)
