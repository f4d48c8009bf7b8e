"""Commits operators' edits of the table: checks them against the newest rows and writes them once.

Edits are idempotent by change id: repeating one after a lost reply has no further effect.
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

# Attempts to commit an edit while concurrent edits of other rows are committed first.
MAX_COMMIT_ATTEMPTS = 5
# Retry-After while the table service is unavailable: two poll intervals.
OUTAGE_RETRY_S = 2.0


@dataclass(frozen=True)
class EditRequest:
    """An operator's request to edit the table.

    Attributes:
      change_id: Chosen by the operator's command; a repeat with the same id has no further effect.
      base_version: The version of the table that the edit is based on.
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
        """Store the dependencies.

        Args:
          announce: Sends a digest to all peers, so that they request a new version at once.
        """
        self._store = store
        self._config = config
        self._membership = membership
        self._announce = announce

    async def edit(self, request: EditRequest) -> Result[int, list[Problem]]:
        """Commit or refuse an edit.

        Returns:
          The version that contains the edit, or all problems that were found.
        """
        if not self._membership.sees_majority():
            return Failure([Problem(Code.NO_MAJORITY)])
        for _ in range(MAX_COMMIT_ATTEMPTS):
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
            return Failure([_version_conflict(request.base_version, snapshot)])
        match check_edits(snapshot, request.edits):
            case Failure(problems):
                return Failure(problems)
        change = _change(request, snapshot)
        match await self._store.commit(change):
            case Failure(problem):
                return Failure([problem])
        return await self._announce_accepted(change, snapshot)

    async def _announce_accepted(
        self, change: Change, before: Snapshot
    ) -> Result[int, list[Problem]]:
        """Apply an accepted change on this node and announce it.

        After a lost reply the change may have been accepted under a later version than the one
        requested, so the version is taken from the audit record.
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


def _version_conflict(base_version: int, snapshot: Snapshot) -> Problem:
    detail = f"the table is at version {snapshot.version}, your edit is based on {base_version}"
    return Problem(Code.VERSION_CONFLICT, detail, "table")


def _change(request: EditRequest, snapshot: Snapshot) -> Change:
    """Return the change that applies an edit to a snapshot."""
    when = datetime.now(UTC).isoformat(timespec="milliseconds")
    return Change(snapshot.version + 1, request.change_id, request.who, when, request.edits)
