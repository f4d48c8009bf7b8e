"""Stand-in of the platform's store: versioned rows, a change feed by long poll, and faults."""

import asyncio
import base64
import contextlib
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import orjson

from springbridge_standins.http_standin import HttpStandIn
from springbridge_standins.http_wire import Connection, RawRequest, answer

# Longer than any test.
SILENT_S = 3600.0
# Slow, but within the nodes' timeouts for the store.
SLOW_S = 0.4

# Tables of the operators and endpoints, who rewrite rows that a restore has lost.
REWRITTEN_TABLES = ("op", "servers")


class StoreFault(Enum):
    """Faults of the store; soak seeds depend on the order of the members."""

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"
    SLOW = "slow"
    LOST = "done, and not answered"


@dataclass(frozen=True)
class Row:
    """One row of a table.

    Attributes:
      gone: Whether it was removed; only the feed returns removed rows.
    """

    table: str
    key: str
    value: bytes
    version: int
    gone: bool = False


@dataclass(frozen=True)
class _Copy:
    """A copy of all rows, and the store's version at that time."""

    version: int
    rows: dict[tuple[str, str], Row]


class StoreStandIn(HttpStandIn):
    """HTTP server of the store.

    Attributes:
      fault: The current fault.
      refused_from: IPs of the nodes that the fault applies to; all if empty.
      history_lost_before: Oldest version from which the feed still has all changes.
      calls: Number of calls by path.
      reads: Number of reads of a whole table, by table.
      version: Version of the latest write; every write increases it.
      ahead_s: Seconds by which its clock is ahead of the machine's; tests let time pass with it.
      era: Number of restores from an older copy; sent in each answer if not 0.
    """

    def __init__(self) -> None:
        """Start without rows and without a fault."""
        super().__init__()
        self.fault = StoreFault.NONE
        self.refused_from: set[str] = set()
        self.history_lost_before = 0
        self.calls: Counter[str] = Counter()
        self.reads: Counter[str] = Counter()
        self.version = 0
        self.ahead_s = 0.0
        self.era = 0
        self._copies: list[_Copy] = []
        self._rows: dict[tuple[str, str], Row] = {}
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, document: dict) -> None:
        """Write a document as the platform or the operator would."""
        await self.put_content(table, key, orjson.dumps(document))

    async def put_content(self, table: str, key: str, content: bytes) -> None:
        """Write raw bytes, which need not be JSON, as another writer may."""
        await self._write(table, key, content)

    async def remove(self, table: str, key: str) -> None:
        """Remove a row; the version increases even if there is none."""
        async with self._changed:
            self.version += 1
            if (table, key) in self._rows:
                self._rows[(table, key)] = Row(table, key, b"", self.version, gone=True)
            self._changed.notify_all()

    def take_copy(self) -> None:
        """Take a copy that the store may be restored from."""
        self._copies.append(_Copy(self.version, dict(self._rows)))

    async def restore_older_copy(self, number: int = -1) -> list[Row]:
        """Restore a copy: later writes are lost, and their versions are reused.

        Args:
          number: Index of the copy, -1 for the latest; the oldest if there are not so many.

        Returns:
          Lost rows of REWRITTEN_TABLES, which their writers (not the nodes) will write again.
        """
        async with self._changed:
            copy = self._copies[max(number, -len(self._copies))]
            lost = [
                row
                for key, row in self._rows.items()
                if row.table in REWRITTEN_TABLES and not row.gone and copy.rows.get(key) != row
            ]
            self.version, self._rows = copy.version, dict(copy.rows)
            self.era += 1
            self._changed.notify_all()
        return lost

    def value_of(self, table: str, key: str) -> bytes | None:
        """Return the content of a row, None if there is none or it was removed."""
        row = self._rows.get((table, key))
        return None if row is None or row.gone else row.value

    async def _write(self, table: str, key: str, value: bytes) -> None:
        async with self._changed:
            self.version += 1
            self._rows[(table, key)] = Row(table, key, value, self.version)
            self._changed.notify_all()

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Answer a call, or fail it according to the fault."""
        self.calls[request.path] += 1
        if request.path == "/v1/rows-get":
            self.reads[request.query["table"]] += 1
        peer = connection.writer.get_extra_info("peername")[0]
        refused = not self.refused_from or peer in self.refused_from
        fault = self.fault if refused else StoreFault.NONE
        if fault is StoreFault.SILENT:
            await asyncio.sleep(SILENT_S)
        if fault is StoreFault.RESET:
            connection.reset()
            return
        if fault is StoreFault.BUSY:
            await connection.send(answer("", b"{}", 503, signature=""))
            return
        if fault is StoreFault.SLOW:
            await asyncio.sleep(SLOW_S)
        status, body = await self._execute(request)
        if fault is StoreFault.LOST:
            await asyncio.sleep(SILENT_S)
        era_header = {"Store_Era": str(self.era)} if self.era else {}
        await connection.send(answer("", orjson.dumps(body), status, signature="", **era_header))

    async def _execute(self, request: RawRequest) -> tuple[int, dict]:
        """Execute a call and return the status and the body of its answer."""
        if request.path == "/v1/rows-get":
            return 200, self._rows_answer(request.query["table"], -1) | {"more": False}
        if request.path == "/v1/rows-feed":
            return await self._feed(request.query)
        if request.path == "/v1/rows-tx":
            changes = request.json()
            for condition in changes["expectedRevision"]:
                row = self._rows.get((condition["table"], condition["key"]))
                version = 0 if row is None or row.gone else row.version
                if version != condition["ver"]:
                    return 412, {"rows": [], "ver": self.version, "now_ms": self._now_ms()}
            for row in changes["put"]:
                await self._write(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in changes["remove"]:
                await self.remove(row["table"], row["key"])
            return 200, {"ver": self.version, "now_ms": self._now_ms()}
        return 404, {}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        """Answer when a row of the table changes or waitMs have passed; 410 if history is lost."""
        since = int(query["sinceRevision"])
        if since < self.history_lost_before or since > self.version:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(
                    lambda: self._rows_answer(query["table"], since)["rows"]
                )
        return 200, self._rows_answer(query["table"], since)

    def _rows_answer(self, table: str, since: int) -> dict:
        """Return the rows of a table changed after a version; at -1 all rows that exist."""
        rows = [
            _row_fields(row)
            for row in self._rows.values()
            if row.table == table and row.version > since and not (row.gone and since < 0)
        ]
        return {"rows": rows, "ver": self.version, "now_ms": self._now_ms()}

    def _now_ms(self) -> int:
        """Return the store's monotonic clock in milliseconds."""
        return int((time.monotonic() + self.ahead_s) * 1000)


def _row_fields(row: Row) -> dict:
    """Return a row in the format of the store's answers."""
    fields = {"table": row.table, "part": "", "key": row.key, "ver": row.version}
    if row.gone:
        return fields | {"gone": True}
    return fields | {"value": base64.b64encode(row.value).decode()}
