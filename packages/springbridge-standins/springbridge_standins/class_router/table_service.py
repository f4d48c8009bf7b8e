"""Stand-in for the platform: the transactional table service and the lagging list of instances."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from time import monotonic

import orjson
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

WRITES_PER_S = 100.0
WRITE_BURST = 50.0
LONG_S = 30.0


@dataclass
class TableFaults:
    """Switchable faults.

    Attributes:
      out: Whether the table does not answer.
      slow_s: Delay of each answer.
      lose_replies: How many of the next writes take effect but get no reply.
      late_writes: How many of the next writes take effect only after the writer has given up.
    """

    out: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    late_writes: int = 0


@dataclass
class Platform:
    """Rows with versions, and the list of instances that is shown lag_s late."""

    address: str
    faults: TableFaults = field(default_factory=TableFaults)
    rows: dict[str, tuple[int, str]] = field(default_factory=dict)
    lag_s: float = 1.0
    reads: int = 0
    writes: int = 0
    refused_writes: int = 0
    _versions: int = 0
    _tokens: float = WRITE_BURST
    _refilled_s: float = field(default_factory=monotonic)
    _lists: deque = field(default_factory=deque)

    async def run(self) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(":")
        args = {"platform": self}
        application = Application(
            [
                (r"/row", RowHandler, args),
                (r"/scan", ScanHandler, args),
                (r"/transact", TransactHandler, args),
                (r"/instances", InstancesHandler, args),
                (r"/faults", FaultHandler, args),
                (r"/counters", CounterHandler, args),
            ],
            log_function=lambda handler: None,
        )
        HTTPServer(application).listen(int(port), host)
        await asyncio.Event().wait()

    def transact(self, conditions: dict[str, int], writes: dict[str, str | None]) -> bool:
        """Apply all writes if all conditions on row versions hold."""
        self.writes += 1
        for key, version in conditions.items():
            if self.rows.get(key, (0, ""))[0] != version:
                return False
        for key, value in writes.items():
            self._versions += 1
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (self._versions, value)
        return True

    def scan(self, prefixes: list[str], start: str, limit: int) -> dict[str, dict]:
        """Return rows by prefix, ordered by key."""
        self.reads += 1
        keys = [key for key in self.rows if key >= start and key.startswith(tuple(prefixes))]
        found = {key: self.rows[key] for key in sorted(keys)[:limit]}
        return {key: {"version": row[0], "value": row[1]} for key, row in found.items()}

    def may_write(self) -> bool:
        """Take one write from the rate limit."""
        now_s = monotonic()
        grown = self._tokens + (now_s - self._refilled_s) * WRITES_PER_S
        self._tokens = min(WRITE_BURST, grown)
        self._refilled_s = now_s
        if self._tokens < 1:
            self.refused_writes += 1
            return False
        self._tokens -= 1
        return True

    def set_instances(self, entries: list[dict]) -> None:
        """Change the list of instances; it shows after lag_s."""
        self._lists.append((monotonic() + self.lag_s, entries))

    def instances(self) -> list[dict]:
        """Return the list as it was lag_s ago."""
        while len(self._lists) > 1 and self._lists[1][0] <= monotonic():
            self._lists.popleft()
        if self._lists and self._lists[0][0] <= monotonic():
            return self._lists[0][1]
        return []


class PlatformHandler(RequestHandler):
    """What all handlers of the table share: its faults."""

    def initialize(self, platform: Platform) -> None:
        """Keep the platform."""
        self.platform = platform

    async def fault(self) -> None:
        """Do what the faults say before answering."""
        await asyncio.sleep(self.platform.faults.slow_s)
        if self.platform.faults.out:
            await self.lose()

    async def lose(self) -> None:
        """Never answer, as far as the caller can tell."""
        await asyncio.sleep(LONG_S)
        self.request.connection.stream.close()

    def read(self) -> dict:
        """Return the request's JSON."""
        return orjson.loads(self.request.body)


class RowHandler(PlatformHandler):
    """Reads one row."""

    async def post(self) -> None:
        """Answer with the row; version 0 stands for none."""
        await self.fault()
        self.platform.reads += 1
        version, value = self.platform.rows.get(self.read()["key"], (0, ""))
        self.finish({"version": version, "value": value})


class ScanHandler(PlatformHandler):
    """Reads rows by prefix."""

    async def post(self) -> None:
        """Answer with the rows, in one transaction."""
        await self.fault()
        asked = self.read()
        rows = self.platform.scan(
            asked["prefixes"], asked.get("start", ""), asked.get("limit", 1_000_000)
        )
        self.finish({"rows": rows})


class TransactHandler(PlatformHandler):
    """Writes."""

    async def post(self) -> None:
        """Apply a transaction, unless the faults or the rate limit are against it."""
        await self.fault()
        if not self.platform.may_write():
            self.set_status(429)
            return
        asked = self.read()
        faults = self.platform.faults
        if faults.late_writes > 0:
            faults.late_writes -= 1
            await asyncio.sleep(3.0)
            self.platform.transact(asked["conditions"], asked["writes"])
            await self.lose()
            return
        applied = self.platform.transact(asked["conditions"], asked["writes"])
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            await self.lose()
            return
        self.finish({"applied": applied})


class InstancesHandler(PlatformHandler):
    """Shows the list of instances; the test harness sets it."""

    def get(self) -> None:
        """Answer with the list, late."""
        self.finish({"instances": self.platform.instances()})

    def post(self) -> None:
        """Change the list."""
        self.platform.set_instances(self.read()["instances"])


class FaultHandler(PlatformHandler):
    """Switches faults."""

    def post(self) -> None:
        """Switch the faults that are named."""
        for name, value in self.read().items():
            setattr(self.platform.faults, name, value)


class CounterHandler(PlatformHandler):
    """Shows how much the platform was used."""

    def get(self) -> None:
        """Answer with the counters."""
        platform = self.platform
        self.finish(
            {
                "reads": platform.reads,
                "writes": platform.writes,
                "refused_writes": platform.refused_writes,
            }
        )
