"""One engine as a process of its own: engine_2.py ADDRESS ID EVENTS PAUSE_S RECORD.

It answers each request with a stream of events that has neither a length nor chunks, and ends with
its connection. Killed, it leaves its connections to the kernel, which ends them in order. It adds a
line to the file RECORD for each stream that it begins and each event that it sends.
"""

import asyncio
import sys
import time
from pathlib import Path

from standins_2 import Engine, Request, message


def event(number: int) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class StreamingEngine(Engine):
    """An engine whose streams end with their connections."""

    def __init__(self, name: str, events: int, pause_s: float, record: Path) -> None:
        """Set how many events a stream has, and the time between two."""
        super().__init__(name, "model", [])
        self._events, self._pause_s, self._record = events, pause_s, record
        self.answer = self.stream

    async def stream(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Send the events that are due, and close the connection."""
        headers = {
            "Request-Id": request.id,
            "Response-Signature": f"sig-{self.name}",
            "Content-Type": "text/event-stream",
            "Connection": "close",
        }
        head = message("HTTP/1.1 200 OK", headers).replace(b"Content-Length: 0\r\n", b"")
        writer.write(head)
        first = int(request.headers.get("last-event-id", 0)) + 1
        self._note(f"runs {request.id} from event {first}")
        for number in range(first, self._events + 1):
            await asyncio.sleep(self._pause_s)
            writer.write(event(number))
            await writer.drain()
            self._note(f"sent event {number} of {request.id}")
        writer.close()

    def _note(self, text: str) -> None:
        """Add a line to the record, with the time of the monotonic clock."""
        with self._record.open("a") as record:
            record.write(f"{time.monotonic():.3f} {self.name} {text}\n")


async def main() -> None:
    """Serve until killed."""
    address, name, events, pause_s, record = sys.argv[1:]
    engine = StreamingEngine(name, int(events), float(pause_s), Path(record))
    host, _, port = address.rpartition(":")
    await engine.start(host, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
