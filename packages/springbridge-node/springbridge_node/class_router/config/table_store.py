"""Adapter for the platform's table service, over HTTP.

The table service offers atomic transactions: conditions on row versions (0 means no row) and
writes. Each change writes a row under its own id; if the reply to a commit is lost, that row is
read back to learn the outcome.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import orjson
from returns.result import Failure, Result, Success
from springbridge.classes.ports import MOVED_ON, OrderLease
from springbridge.classes.table.changes import Change, Snapshot, decode_change
from springbridge.codes import Code
from springbridge.problems import Problem
from tornado.httpclient import AsyncHTTPClient

from springbridge_node.class_router.config.platform_http import (
    READ_TIMEOUT_S,
    RETRY_AFTER_S,
    fetch_json,
)
from springbridge_node.class_router.config.stored_table import (
    AUDIT,
    CHANGE_IDS,
    CLAIMS,
    LEASES,
    ROWS,
    VERSION,
    StoredLease,
    StoredRow,
    audit_key,
    to_snapshot,
    writes_of,
)

# Timeout of a transaction. Longer than that of a read, since a lost reply requires reading back.
WRITE_TIMEOUT_S = 2.0
# Reads of the table for a change whose reply was lost. With the pause they span an outage of 1.5 s;
# a longer one ends with EDIT_UNKNOWN.
MAX_SETTLE_READS = 5
# Pause before each of these reads: a delayed write may still take effect.
SETTLE_PAUSE_S = 0.3
# Duration of a lease for orders. It bounds how long a dead holder blocks other nodes, and leaves
# 5 s to send an order besides the margin of orders.py.
ORDER_LEASE_S = 10.0


class HttpTableStore:
    """The platform's table service."""

    def __init__(self, address: str, client: AsyncHTTPClient, wall_clock: Callable[[], float]):
        """Store the dependencies.

        Args:
          address: IP number:port of the service.
          wall_clock: Seconds since 1970, for leases.
        """
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
        return scanned.map(to_snapshot)

    async def changes(self, after: int, limit: int) -> Result[list[Change], Problem]:
        """Return at most limit changes that follow a version, oldest first."""
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
        """Write rows, version and audit record in one transaction.

        It is conditional on the preceding version and on the change id being new, so it takes
        effect at most once. Returns MOVED_ON if another change was committed first.
        """
        match await self._row(VERSION):
            case Failure(problem):
                return Failure(problem)
            case Success(row):
                if int(row.value or 0) != change.version - 1:
                    return await self._conflict_or_done(change)
        conditions = {VERSION: row.version, CHANGE_IDS + change.change_id: 0}
        match await self._transact(conditions, writes_of(change)):
            case Success(True):
                return Success(None)
            case Success(_):
                return await self._conflict_or_done(change)
            case Failure(_):
                return await self._settle(change)

    async def claim(self, request_id: str, node: str) -> Result[str, Problem]:
        """Claim an id that names no home for a node; return the node whose claim was first."""
        key = CLAIMS + request_id
        match await self._transact({key: 0}, {key: node}):
            case Success(True):
                return Success(node)
        # Refused, or the reply was lost: in both cases the row has the holder of the claim.
        row = await self._row(key)
        return row.bind(_claim_holder)

    async def take_lease(self, endpoint: str, holder: str) -> Result[OrderLease, Problem]:
        """Acquire or renew the lease for orders to an endpoint.

        The epoch is incremented at each change of holder. The lease runs from before the write. If
        the reply is lost, the lease counts as not acquired; if it was, it expires by itself.
        """
        key = LEASES + endpoint
        match await self._row(key):
            case Failure(problem):
                return Failure(problem)
            case Success(row):
                current = StoredLease.from_row(row)
        now_s = self._wall_clock()
        in_force = current.until_s > now_s
        if in_force and current.holder != holder:
            return Failure(Problem(Code.ORDER_REFUSED, "the lease is taken", endpoint))
        epoch = current.epoch if in_force else current.epoch + 1
        lease = StoredLease(holder, epoch, now_s + ORDER_LEASE_S)
        match await self._transact({key: row.version}, {key: orjson.dumps(lease).decode()}):
            case Success(True):
                spent_s = self._wall_clock() - now_s
                return Success(OrderLease(epoch, ORDER_LEASE_S - spent_s))
            case Success(_):
                return Failure(Problem(Code.ORDER_REFUSED, "another took the lease", endpoint))
            case Failure(problem):
                return Failure(problem)

    async def _conflict_or_done(self, change: Change) -> Result[None, Problem]:
        """Return success if the change was accepted before, MOVED_ON if another one preceded it."""
        found = await self.find_change(change.change_id)
        return found.bind(_accepted_or_conflict)

    async def _settle(self, change: Change) -> Result[None, Problem]:
        """Determine by reading whether a transaction whose reply was lost took effect.

        A change that is not found may still take effect later. Only a version as high as its own
        rules that out, since its write is conditional on the preceding version.
        """
        for _ in range(MAX_SETTLE_READS):
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
        """Return one row; it has version 0 if it does not exist."""
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
        return await fetch_json(self._client, self._url + path, orjson.dumps(request), timeout_s)


def _claim_holder(row: StoredRow) -> Result[str, Problem]:
    if row.version:
        return Success(row.value)
    return Failure(Problem(Code.TABLE_UNAVAILABLE, retry_after_s=RETRY_AFTER_S))


def _accepted_or_conflict(found: Change | None) -> Result[None, Problem]:
    if found is not None:
        return Success(None)
    return Failure(MOVED_ON)
