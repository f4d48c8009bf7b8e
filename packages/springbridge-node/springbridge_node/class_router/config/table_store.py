"""Adapters for the platform: the table service and the list of instances, over HTTP.

The table service offers transactions: conditions on row versions (0 stands for no row) and writes,
applied together or not at all. Each transaction carries an id; a transaction whose reply is lost
is settled by reading a row back that only this transaction can have written.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success
from springbridge.classes.ports import MOVED_ON, Listed, OrderLease
from springbridge.classes.table.changes import Change, Snapshot, decode_change, encode_change
from springbridge.codes import Code
from springbridge.problems import Problem
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

# Longest wait for a read. Derived: it stays below the 1 s between two reads of the version, so
# that a silent service is noticed within the 3 s for which a confirmation is fresh.
READ_TIMEOUT_S = 0.8
# Longest wait for a transaction. Longer than a read, since a lost reply has to be settled by
# reading back. Not measured.
WRITE_TIMEOUT_S = 2.0
# Looks at the table for a change whose reply was lost before the outcome is given as unknown. With
# the pause it bridges an outage of 1.5 s; a longer one ends with EDIT_UNKNOWN. Not measured.
SETTLE_TRIES = 5
# Pause before each of these looks: a write that is late may still take effect. Not measured.
SETTLE_PAUSE_S = 0.3
# When a caller may try again after an outage of the table: two of the node's reads. Not measured.
RETRY_AFTER_S = 2.0
# Length of a lease for orders. It bounds how long a dead holder keeps others out, and leaves 5 s to
# send after the margin that editing.py takes off. Not measured.
ORDER_LEASE_S = 10.0

ROWS = "rows/"
AUDIT = "audit/"
CHANGE_IDS = "change/"
CLAIMS = "claim/"
LEASES = "lease/"
VERSION = "version"


@dataclass(frozen=True)
class StoredRow:
    """A row of the table service; version 0 stands for no row."""

    version: int
    value: str


def audit_key(version: int) -> str:
    """Return the key of an audit record, ordered like the versions."""
    return f"{AUDIT}{version:012d}"


class HttpTableStore:
    """The platform's table service."""

    def __init__(self, address: str, client: AsyncHTTPClient, wall_clock: Callable[[], float]):
        """Keep the service's address, an HTTP client, and seconds since 1970 for leases."""
        self._url = f"http://{address}"
        self._client = client
        self._wall_clock = wall_clock

    async def version(self) -> Result[int, Problem]:
        """Return the newest version of the operators' table."""
        row = await self._row(VERSION)
        return row.map(lambda found: int(found.value or 0))

    async def snapshot(self) -> Result[Snapshot, Problem]:
        """Return all rows at the newest version; the service scans them in one transaction."""
        scanned = await self._post("/scan", {"prefixes": [ROWS, VERSION]}, READ_TIMEOUT_S)
        return scanned.map(_to_snapshot)

    async def changes(self, after: int, limit: int) -> Result[list[Change], Problem]:
        """Return the changes that follow a version, oldest first."""
        request = {"prefixes": [AUDIT], "start": audit_key(after + 1), "limit": limit}
        scanned = await self._post("/scan", request, READ_TIMEOUT_S)
        return scanned.map(
            lambda found: [decode_change(row["value"].encode()) for row in found["rows"].values()]
        )

    async def find_change(self, change_id: str) -> Result[Change | None, Problem]:
        """Return the accepted change with this id, or None."""
        match await self._row(CHANGE_IDS + change_id):
            case Success(row) if row.version == 0:
                return Success(None)
            case Success(row):
                audit = await self._row(row.value)
                return audit.map(lambda found: decode_change(found.value.encode()))
            case Failure(problem):
                return Failure(problem)

    async def commit(self, change: Change) -> Result[None, Problem]:
        """Write rows, version and audit record in one transaction on the version before."""
        match await self._row(VERSION):
            case Failure(problem):
                return Failure(problem)
            case Success(row):
                if int(row.value or 0) != change.version - 1:
                    return await self._conflict_or_done(change)
        conditions = {VERSION: row.version, CHANGE_IDS + change.change_id: 0}
        match await self._transact(conditions, _writes(change)):
            case Success(True):
                return Success(None)
            case Success(_):
                return await self._conflict_or_done(change)
            case Failure(_):
                return await self._settle(change)

    async def claim(self, request_id: str, node: str) -> Result[str, Problem]:
        """Return the node that has the claim on an id without a home: the first to ask."""
        key = CLAIMS + request_id
        match await self._transact({key: 0}, {key: node}):
            case Success(True):
                return Success(node)
        # Refused, or the reply was lost: the row says who has the claim in both cases.
        row = await self._row(key)
        return row.bind(_claimed)

    async def take_lease(self, endpoint: str, holder: str) -> Result[OrderLease, Problem]:
        """Take or renew the lease for orders to an endpoint.

        The epoch grows with each change of holder. The lease is counted from before the write, and
        a write whose reply was lost counts as not taken: it ends by itself.
        """
        key = LEASES + endpoint
        match await self._row(key):
            case Failure(problem):
                return Failure(problem)
            case Success(row):
                current = orjson.loads(row.value) if row.version else {}
        now_s = self._wall_clock()
        held_by_other = current.get("holder") != holder and current.get("until_s", 0) > now_s
        if held_by_other:
            return Failure(Problem(Code.ORDER_REFUSED, "the lease is taken", endpoint))
        renews = current.get("holder") == holder and current.get("until_s", 0) > now_s
        epoch = current.get("epoch", 0) + (0 if renews else 1)
        value = {"holder": holder, "epoch": epoch, "until_s": now_s + ORDER_LEASE_S}
        match await self._transact({key: row.version}, {key: orjson.dumps(value).decode()}):
            case Success(True):
                spent_s = self._wall_clock() - now_s
                return Success(OrderLease(endpoint, holder, epoch, ORDER_LEASE_S - spent_s))
            case Success(_):
                return Failure(Problem(Code.ORDER_REFUSED, "another took the lease", endpoint))
            case Failure(problem):
                return Failure(problem)

    async def _conflict_or_done(self, change: Change) -> Result[None, Problem]:
        """Tell a change that was accepted before from one that came too late."""
        found = await self.find_change(change.change_id)
        return found.bind(_accepted_or_conflict)

    async def _settle(self, change: Change) -> Result[None, Problem]:
        """Find out by reading whether a transaction whose reply was lost took effect.

        Not found is no proof that it will not still take effect, so a change that cannot be read
        back is settled by closing its version to it: only a later version rules it out.
        """
        for _ in range(SETTLE_TRIES):
            await asyncio.sleep(SETTLE_PAUSE_S)
            match await self.find_change(change.change_id):
                case Success(None):
                    match await self.version():
                        case Success(version) if version >= change.version:
                            return await self._conflict_or_done(change)
                case Success(_):
                    return Success(None)
        return Failure(Problem(Code.EDIT_UNKNOWN, "the table did not answer", change.change_id))

    async def _row(self, key: str) -> Result[StoredRow, Problem]:
        """Return one row."""
        read = await self._post("/row", {"key": key}, READ_TIMEOUT_S)
        return read.map(lambda found: StoredRow(**found))

    async def _transact(
        self, conditions: Mapping[str, int], writes: Mapping[str, str | None]
    ) -> Result[bool, Problem]:
        """Return whether the conditions held and the writes took effect."""
        request = {"conditions": conditions, "writes": writes}
        written = await self._post("/transact", request, WRITE_TIMEOUT_S)
        return written.map(lambda found: found["applied"])

    async def _post(self, path: str, request: Any, timeout_s: float) -> Result[Any, Problem]:
        return await _fetch(self._client, self._url + path, orjson.dumps(request), timeout_s)


class HttpInstanceList:
    """The platform's lagging list of instances."""

    def __init__(self, address: str, client: AsyncHTTPClient):
        """Keep the address of the list and an HTTP client."""
        self._url = f"http://{address}/instances"
        self._client = client

    async def instances(self) -> Result[list[Listed], Problem]:
        """Return the listed instances."""
        read = await _fetch(self._client, self._url, None, READ_TIMEOUT_S)
        return read.map(lambda found: [Listed(**entry) for entry in found["instances"]])


async def _fetch(
    client: AsyncHTTPClient, url: str, body: bytes | None, timeout_s: float
) -> Result[Any, Problem]:
    """Return the decoded JSON of an answer, or TABLE_UNAVAILABLE for whatever went wrong."""
    request = HTTPRequest(
        url,
        method="GET" if body is None else "POST",
        body=body,
        connect_timeout=timeout_s,
        request_timeout=timeout_s,
    )
    try:
        response = await client.fetch(request)
        return Success(orjson.loads(response.body))
    except Exception as exc:
        detail = f"the platform did not answer: {type(exc).__name__}"
        return Failure(Problem(Code.TABLE_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S))


def _to_snapshot(found: Any) -> Snapshot:
    rows = found["rows"]
    version = int(rows[VERSION]["value"]) if VERSION in rows else 0
    cells = {
        key.removeprefix(ROWS): orjson.loads(row["value"])
        for key, row in rows.items()
        if key.startswith(ROWS)
    }
    return Snapshot(version, cells)


def _writes(change: Change) -> dict[str, str | None]:
    """Return everything that a change writes; None deletes a row."""
    writes: dict[str, str | None] = {
        VERSION: str(change.version),
        CHANGE_IDS + change.change_id: audit_key(change.version),
        audit_key(change.version): encode_change(change).decode(),
    }
    for edit in change.edits:
        after = None if edit.after is None else orjson.dumps(edit.after).decode()
        writes[ROWS + edit.key] = after
    return writes


def _claimed(row: StoredRow) -> Result[str, Problem]:
    if row.version:
        return Success(row.value)
    return Failure(Problem(Code.TABLE_UNAVAILABLE, retry_after_s=RETRY_AFTER_S))


def _accepted_or_conflict(found: Change | None) -> Result[None, Problem]:
    if found is not None:
        return Success(None)
    return Failure(MOVED_ON)
