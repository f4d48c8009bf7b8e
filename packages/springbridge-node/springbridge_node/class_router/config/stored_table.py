"""Layout of the operators' table in the rows of the platform's table service.

This is stored data: keys and values must stay readable by nodes of other builds.
"""

from dataclasses import dataclass
from typing import Any

import orjson
from springbridge.classes.table.changes import Change, Snapshot, encode_change

# Key prefixes: rows of the table, audit records by version, audit keys by change id, claims on
# request ids that name no home, leases for orders. The table's version is in a row of its own.
ROWS = "rows/"
AUDIT = "audit/"
CHANGE_IDS = "change/"
CLAIMS = "claim/"
LEASES = "lease/"
VERSION = "version"


@dataclass(frozen=True)
class StoredRow:
    """A row of the table service; version 0 means that there is no row."""

    version: int
    value: str


@dataclass(frozen=True)
class StoredLease:
    """The lease for orders to one endpoint.

    Attributes:
      holder: Incarnation of the node that acquired it last.
      epoch: Incremented at each change of holder.
      until_s: End, in seconds since 1970 on the holder's clock.
    """

    holder: str = ""
    epoch: int = 0
    until_s: float = 0.0

    @classmethod
    def from_row(cls, row: StoredRow) -> "StoredLease":
        """Return the lease stored in a row, or an expired one without holder if there is no row."""
        if not row.version:
            return cls()
        found = orjson.loads(row.value)
        return cls(found["holder"], found["epoch"], found["until_s"])


def audit_key(version: int) -> str:
    """Return the key of an audit record; keys sort in the order of versions."""
    return f"{AUDIT}{version:012d}"


def to_snapshot(found: Any) -> Snapshot:
    """Return the snapshot in a scan of the table's rows and version."""
    rows = found["rows"]
    version = int(rows[VERSION]["value"]) if VERSION in rows else 0
    cells = {
        key.removeprefix(ROWS): orjson.loads(row["value"])
        for key, row in rows.items()
        if key.startswith(ROWS)
    }
    return Snapshot(version, cells)


def writes_of(change: Change) -> dict[str, str | None]:
    """Return the values by key that a change writes; None deletes a row."""
    writes: dict[str, str | None] = {
        VERSION: str(change.version),
        CHANGE_IDS + change.change_id: audit_key(change.version),
        audit_key(change.version): encode_change(change).decode(),
    }
    for edit in change.edits:
        after = None if edit.after is None else orjson.dumps(edit.after).decode()
        writes[ROWS + edit.key] = after
    return writes
