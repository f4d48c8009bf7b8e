"""Changes of the operators' table: edits, their checks, the audit record and the next version.

An accepted change is one audit record. The same record is the increment from one version to the
next, so the audit trail never differs from what was applied, and a node that is a few versions
behind reads a few records instead of the whole table.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success

from springbridge.classes.table.checks import check_key_owners, check_references
from springbridge.classes.table.rows import Cells, key_problem, parse
from springbridge.codes import Code
from springbridge.problems import Problem


@dataclass(frozen=True)
class Edit:
    """One row before and after a change; None means that the row does not exist."""

    key: str
    before: Cells | None
    after: Cells | None


@dataclass(frozen=True)
class Change:
    """An accepted change, which is also its row in the audit trail.

    Attributes:
      version: The version that results from the change.
      change_id: Chosen by the operator's command. It shows whether the change was accepted if the
        reply was lost.
      who: Name of the operator.
      when: Time of the change in UTC, in ISO 8601.
    """

    version: int
    change_id: str
    who: str
    when: str
    edits: tuple[Edit, ...]


@dataclass(frozen=True)
class Snapshot:
    """All rows of the operators' table at one version."""

    version: int
    rows: Mapping[str, Cells]


def encode_change(change: Change) -> bytes:
    """Serialize a change to JSON, as it is stored and sent."""
    return orjson.dumps(change)


def decode_change(data: bytes) -> Change:
    """Parse a change that encode_change serialized."""
    raw = orjson.loads(data)
    edits = tuple(Edit(**edit) for edit in raw.pop("edits"))
    return Change(edits=edits, **raw)


def apply(snapshot: Snapshot, change: Change) -> Snapshot:
    """Return the snapshot after a change.

    Raises:
      ValueError: The change does not follow the snapshot's version.
    """
    if change.version != snapshot.version + 1:
        raise ValueError(f"change {change.version} cannot follow version {snapshot.version}")
    rows = dict(snapshot.rows)
    for edit in change.edits:
        if edit.after is None:
            rows.pop(edit.key, None)
        else:
            rows[edit.key] = edit.after
    return Snapshot(change.version, rows)


def check_edits(snapshot: Snapshot, edits: tuple[Edit, ...]) -> Result[Snapshot, list[Problem]]:
    """Check edits against the snapshot that they would apply to.

    Edits that change nothing are refused. Accepted, they would use up a version and an audit
    record, and a concurrent edit of the same rows would not detect them.

    Returns:
      The snapshot after the edits, or every problem that was found.
    """
    problems = _check_rows(snapshot, edits)
    change = Change(snapshot.version + 1, "", "", "", edits)
    after = apply(snapshot, change)
    if not problems and after.rows == snapshot.rows:
        return Failure([Problem(Code.NOTHING_CHANGED)])
    problems += check_references(after.rows)
    problems += check_key_owners(after.rows)
    if problems:
        return Failure(problems)
    return Success(after)


def _check_rows(snapshot: Snapshot, edits: tuple[Edit, ...]) -> list[Problem]:
    """Return a Problem for each edit whose row is malformed or was changed concurrently."""
    problems = []
    for edit in edits:
        found = snapshot.rows.get(edit.key)
        if found != edit.before:
            problems.append(_conflict(edit, found))
        problems += _malformed_row(edit)
    return problems


def _malformed_row(edit: Edit) -> list[Problem]:
    """Return the Problem of an edit whose key or new row cannot be parsed.

    The key is checked also where an edit only demands that there is no row. Nodes apply each edit
    of an accepted change to their table, and fail at a key that names no kind of row.
    """
    if edit.after is None:
        problem = key_problem(edit.key) if edit.before is None else None
        return [] if problem is None else [problem]
    match parse(edit.key, edit.after):
        case Failure(problem):
            return [problem]
    return []


def _conflict(edit: Edit, found: Cells | None) -> Problem:
    """Return the Problem of a conflicting edit, with the row as found and as expected."""
    detail = f"the row is now {_show(found)}; your edit expected {_show(edit.before)}"
    return Problem(Code.VERSION_CONFLICT, detail, edit.key)


def _show(cells: Cells | None) -> str:
    if cells is None:
        return "(no row)"
    return ", ".join(f"{column}={text}" for column, text in cells.items())


def difference(snapshot: Snapshot, rows: Mapping[str, Cells]) -> tuple[Edit, ...]:
    """Return the edits that turn a snapshot into the given rows."""
    keys = sorted(snapshot.rows.keys() | rows.keys())
    edits = (Edit(key, snapshot.rows.get(key), rows.get(key)) for key in keys)
    return tuple(edit for edit in edits if edit.before != edit.after)
