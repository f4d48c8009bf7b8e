"""Stand-in for the platform: a transactional table service and a delayed list of instances."""

import asyncio
from collections import deque
from dataclasses import dataclass
from time import monotonic

from springbridge_standins.class_router.json_standin import JsonStandIn, send_json
from springbridge_standins.http_wire import Connection, RawRequest

# Rate limit of the table.
WRITES_PER_S = 100.0
# Size of the token bucket: half a second of WRITES_PER_S.
WRITE_BURST = 50.0
# Time before a lost reply resets the connection; longer than any timeout of a node for the table.
LOST_REPLY_S = 30.0
# Delay of a late write; longer than the 2 s after which a writer gives up.
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
    """Rows with versions, and a list of instances whose changes show after lag_s."""

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
        """Apply all writes if all conditions on row versions hold; return whether it did."""
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

    def try_write(self) -> bool:
        """Take a token for one write from the rate limit; return whether there was one."""
        now_s = monotonic()
        refilled = self._tokens + (now_s - self._refilled_s) * WRITES_PER_S
        self._tokens = min(WRITE_BURST, refilled)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def set_instances(self, entries: list[dict]) -> None:
        """Change the list of instances; the change shows after lag_s."""
        self._lists.append((monotonic() + self.lag_s, entries))

    def instances(self) -> list[dict]:
        """Return the list as it was lag_s ago."""
        while len(self._lists) > 1 and self._lists[1][0] <= monotonic():
            self._lists.popleft()
        if self._lists and self._lists[0][0] <= monotonic():
            return self._lists[0][1]
        return []

    async def _apply_faults(self, connection: Connection) -> None:
        """Delay or drop the answer as the faults say."""
        await asyncio.sleep(self.faults.slow_s)
        if self.faults.out:
            await self._drop_reply(connection)

    async def _drop_reply(self, connection: Connection) -> None:
        """Hold the connection past every timeout of the caller, then reset it."""
        await asyncio.sleep(LOST_REPLY_S)
        connection.reset()
        raise ConnectionResetError

    async def _row(self, request: RawRequest, connection: Connection) -> None:
        """Answer with a row; version 0 means that there is none."""
        await self._apply_faults(connection)
        version, value = self.rows.get(request.json()["key"], (0, ""))
        await send_json(connection, {"version": version, "value": value})

    async def _scan(self, request: RawRequest, connection: Connection) -> None:
        """Answer with the rows of some key prefixes, ordered by key, in one transaction."""
        await self._apply_faults(connection)
        body = request.json()
        start, prefixes = body.get("start", ""), tuple(body["prefixes"])
        keys = sorted(key for key in self.rows if key >= start and key.startswith(prefixes))
        found = {key: self.rows[key] for key in keys[: body.get("limit")]}
        rows = {key: {"version": row[0], "value": row[1]} for key, row in found.items()}
        await send_json(connection, {"rows": rows})

    async def _transact(self, request: RawRequest, connection: Connection) -> None:
        """Apply a transaction, subject to the faults and the rate limit."""
        await self._apply_faults(connection)
        if not self.try_write():
            await send_json(connection, {}, 429)
            return
        body = request.json()
        late, lost = self.faults.late_writes > 0, self.faults.lose_replies > 0
        if late:
            self.faults.late_writes -= 1
            await asyncio.sleep(LATE_WRITE_S)
        applied = self.transact(body["conditions"], body["writes"])
        if lost and not late:
            self.faults.lose_replies -= 1
        if late or lost:
            await self._drop_reply(connection)
        await send_json(connection, {"applied": applied})

    async def _instances(self, request: RawRequest, connection: Connection) -> None:
        """Answer with the list of instances; a POST by the test harness changes it first."""
        if request.method == "POST":
            self.set_instances(request.json()["instances"])
        await send_json(connection, {"instances": self.instances()})
