"""A model engine in a process of its own: python -m ... ADDRESS ID FRAMING PACE_S.

It answers a request for /stream/N with the events to N that are due, one each PACE_S. SIGTERM and
SIGKILL end it at once, and the kernel closes its connections in order. SIGUSR1 makes it say at its
health check that it leaves.
"""

import asyncio
import os
import signal
import sys

from springbridge_standins.gateway.engine import EngineStandIn, Script
from springbridge_standins.http_wire import (
    Connection,
    RawRequest,
    chunk,
    event,
    stream_head,
    unframed_head,
)

CHUNKED, UNFRAMED = "chunked", "unframed"


def paced_events(framing: str, pace_s: float) -> Script:
    """Return a script that streams the events that are due, each after a pause."""

    async def script(request: RawRequest, connection: Connection) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        last = int(request.path.rpartition("/")[2])
        head = stream_head if framing == CHUNKED else unframed_head
        await connection.send(head(request.request_id))
        for number in range(first, last + 1):
            await asyncio.sleep(pace_s)
            piece = event(number)
            await connection.send(chunk(piece) if framing == CHUNKED else piece)
        if framing == CHUNKED:
            await connection.send(chunk(b""))
        else:
            connection.close()

    return script


async def serve(address: str, endpoint_id: str, framing: str, pace_s: float) -> None:
    """Serve until the process is ended."""
    engine = EngineStandIn(endpoint_id, paced_events(framing, pace_s))
    engine.address = address
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, os._exit, 0)
    loop.add_signal_handler(signal.SIGUSR1, engine.begin_to_leave)
    await engine.run()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2], sys.argv[3], float(sys.argv[4])))
