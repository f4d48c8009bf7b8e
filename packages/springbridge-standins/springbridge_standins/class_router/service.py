"""Stand-in for a service without model; counts how often it executed each request."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from springbridge_standins.class_router.json_standin import JsonStandIn, send_json
from springbridge_standins.http_wire import Connection, RawRequest


@dataclass
class ServiceFaults:
    """Switchable faults.

    Attributes:
      delay_s: Time that a call takes.
      refuse: Whether calls are rejected before they run.
      cut: Whether calls run but their reply is lost.
    """

    delay_s: float = 0.05
    refuse: bool = False
    cut: bool = False


class PlainService(JsonStandIn):
    """A service that echoes the request and can delay, reject or lose calls."""

    def __init__(self, address: str) -> None:
        """Start without executions; address is IP number:port."""
        super().__init__(address, ServiceFaults(), {"/.*": self._call})
        self.executions: Counter[str] = Counter()

    def counters(self) -> dict:
        """Return how often each request was executed, by request id."""
        return {"started": self.executions}

    async def _call(self, request: RawRequest, connection: Connection) -> None:
        """Execute a call and answer with its id, path and body."""
        if self.faults.refuse:
            await send_json(connection, {}, 503, Engine_Admitted="no")
            return
        self.executions[request.request_id] += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.cut:
            connection.close()
            return
        answer = {"done": request.path, "request": request.json()}
        await send_json(connection, answer, Request_Id=request.request_id)
