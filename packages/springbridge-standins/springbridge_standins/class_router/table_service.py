"""Stand-in for the platform: the transactional table service and the lagging list of instances."""

import asyncio
from collections import deque
from dataclasses import dataclass
from time import monotonic

from springbridge_standins.class_router.json_standin import JsonStandIn, send_json
from springbridge_standins.http_wire import Connection, RawRequest

# Rate limit of the table. Not measured; chosen.
WRITES_PER_S = 100.0
# Writes at once, half a second's worth. Not measured; chosen.
WRITE_BURST = 50.0
# Longer than any timeout of a node for the table.
LONG_S = 30.0
# Longer than the 2 s after which a writer gives up.
LATE_WRITE_S = 3.0


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


class Platform(JsonStandIn):
    """Rows with versions, and the list of instances that is shown lag_s late."""

    def __init__(self, address: str, lag_s: float = 1.0) -> None:
        """Start without rows; address is IP number:port."""
        routes = {
            "/row": self._row,
            "/scan": self._scan,
            "/transact": self._transact,
            "/instances": self._instances,
        }
        super().__init__(address, TableFaults(), routes)
        self.rows: dict[str, tuple[int, str]] = {}
        self.lag_s = lag_s
        self._versions = 0
        self._tokens = WRITE_BURST
        self._refilled_s = monotonic()
        self._lists: deque[tuple[float, list[dict]]] = deque()

    def transact(self, conditions: dict[str, int], writes: dict[str, str | None]) -> bool:
        """Apply all writes if all conditions on row versions hold."""
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

    def may_write(self) -> bool:
        """Take one write from the rate limit."""
        now_s = monotonic()
        grown = self._tokens + (now_s - self._refilled_s) * WRITES_PER_S
        self._tokens = min(WRITE_BURST, grown)
        self._refilled_s = now_s
        if self._tokens < 1:
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

    async def _suffer(self, connection: Connection) -> None:
        """Do what the faults say before an answer."""
        await asyncio.sleep(self.faults.slow_s)
        if self.faults.out:
            await self._lose(connection)

    async def _lose(self, connection: Connection) -> None:
        """Never answer, as far as the caller can tell."""
        await asyncio.sleep(LONG_S)
        connection.reset()
        raise ConnectionResetError

    async def _row(self, request: RawRequest, connection: Connection) -> None:
        """Answer with a row; version 0 stands for none."""
        await self._suffer(connection)
        version, value = self.rows.get(request.json()["key"], (0, ""))
        await send_json(connection, {"version": version, "value": value})

    async def _scan(self, request: RawRequest, connection: Connection) -> None:
        """Answer with the rows of some prefixes, ordered by key, in one transaction."""
        await self._suffer(connection)
        asked = request.json()
        start, prefixes = asked.get("start", ""), tuple(asked["prefixes"])
        keys = sorted(key for key in self.rows if key >= start and key.startswith(prefixes))
        found = {key: self.rows[key] for key in keys[: asked.get("limit")]}
        rows = {key: {"version": row[0], "value": row[1]} for key, row in found.items()}
        await send_json(connection, {"rows": rows})

    async def _transact(self, request: RawRequest, connection: Connection) -> None:
        """Apply a transaction, unless the faults or the rate limit are against it."""
        await self._suffer(connection)
        if not self.may_write():
            await send_json(connection, {}, 429)
            return
        asked = request.json()
        late, lost = self.faults.late_writes > 0, self.faults.lose_replies > 0
        if late:
            self.faults.late_writes -= 1
            await asyncio.sleep(LATE_WRITE_S)
        applied = self.transact(asked["conditions"], asked["writes"])
        if lost and not late:
            self.faults.lose_replies -= 1
        if late or lost:
            await self._lose(connection)
        await send_json(connection, {"applied": applied})

    async def _instances(self, request: RawRequest, connection: Connection) -> None:
        """Change the list of instances, which the harness does, or show it."""
        if request.method == "POST":
            self.set_instances(request.json()["instances"])
        await send_json(connection, {"instances": self.instances()})
