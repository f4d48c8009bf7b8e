"""An endpoint in a process of its own, which the kernel ends: python -m ... ADDRESS FILE.

It answers each request with the bytes of the file and nothing that marks their end, and then kills
itself; the kernel closes its connections in order, as after a crash.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.http_wire import Connection, RawRequest, unframed_head


@contextmanager
def engine_process(address: str, body: Path) -> Iterator[None]:
    """Run such an endpoint during the block.

    Args:
      body: File with the bytes that it sends before it ends.
    """
    command = [sys.executable, "-m", __name__, address, str(body)]
    pid = os.spawnv(os.P_NOWAIT, sys.executable, command)
    try:
        yield
    finally:
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)


async def serve(address: str, body: bytes) -> None:
    """Answer the first request, and end the process."""

    async def answer_and_end(request: RawRequest, connection: Connection) -> None:
        await connection.send(unframed_head(request.request_id) + body)
        os.kill(os.getpid(), signal.SIGKILL)

    engine = EngineStandIn("i-process", answer_and_end)
    engine.address = address
    await engine.run()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], Path(sys.argv[2]).read_bytes()))
