"""Stand-in for the platform's store: rows with versions, a feed, and faults."""

import asyncio
import base64
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qsl, urlsplit

import orjson

from springbridge_standins.http_wire import Connection, RawRequest, answer, read_request

SILENT_S = 3600.0
SLOW_S = 0.4


class StoreFault(Enum):
    """How the store fails."""

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"
    SLOW = "slow"
    LOST = "done, and not answered"


@dataclass(frozen=True)
class Row:
    """One row."""

    table: str
    key: str
    value: bytes
    version: int


@dataclass
class StoreStandIn:
    """The rows.

    Attributes:
      refused_from: IP numbers of nodes that the store turns away with the fault.
      calls: Calls by path.
    """

    fault: StoreFault = StoreFault.NONE
    refused_from: set[str] = field(default_factory=set)
    history_lost_before: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    version: int = 0
    address: str = ""
    _rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    _changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def put(self, table: str, key: str, document: dict) -> None:
        """Write a document as the platform or the operator would."""
        await self._write(table, key, orjson.dumps(document))

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        async with self._changed:
            self.version += 1
            self._rows.pop((table, key), None)
            self._changed.notify_all()

    async def _write(self, table: str, key: str, value: bytes) -> None:
        async with self._changed:
            self.version += 1
            self._rows[(table, key)] = Row(table, key, value, self.version)
            self._changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        peer = writer.get_extra_info("peername")[0]
        connection = Connection(reader, writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while not writer.is_closing():
                request = await read_request(reader)
                await self._answer(request, connection, peer)
        writer.close()

    async def _answer(self, request: RawRequest, connection: Connection, peer: str) -> None:
        """Answer a call, or fail it."""
        path = urlsplit(request.target).path
        self.calls[path] = self.calls.get(path, 0) + 1
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
        query = dict(parse_qsl(urlsplit(request.target).query))
        status, body = await self._call(path, query, request)
        if fault is StoreFault.LOST:
            await asyncio.sleep(SILENT_S)
        await connection.send(answer("", orjson.dumps(body), status, signature=""))

    async def _call(self, path: str, query: dict, request: RawRequest) -> tuple[int, dict]:
        """Do a call."""
        if path == "/v1/rows-get":
            return 200, self._shown(query["table"], -1) | {"more": False}
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-tx":
            for row in orjson.loads(request.body)["put"]:
                await self._write(row["table"], row["key"], base64.b64decode(row["value"]))
            return 200, {"ver": self.version, "now_ms": 0}
        return 404, {}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        """Answer as soon as a row of a table has changed."""
        since = int(query["sinceRevision"])
        if since < self.history_lost_before:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(lambda: self._shown(query["table"], since)["rows"])
        return 200, self._shown(query["table"], since)

    def _shown(self, table: str, since: int) -> dict:
        """Return the rows of a table that changed after a version."""
        rows = [
            {
                "table": table,
                "part": "",
                "key": row.key,
                "value": base64.b64encode(row.value).decode(),
                "ver": row.version,
            }
            for row in self._rows.values()
            if row.table == table and row.version > since
        ]
        return {"rows": rows, "ver": self.version, "now_ms": 0}


@contextlib.asynccontextmanager
async def running_store(store: StoreStandIn, ip: str = "127.0.0.1") -> AsyncIterator[str]:
    """Serve a store and give its address."""
    server = await asyncio.start_server(store.serve, ip, 0)
    host, port = server.sockets[0].getsockname()
    store.address = f"{host}:{port}"
    try:
        yield store.address
    finally:
        server.close()
