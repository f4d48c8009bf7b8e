"""Stand-ins of endpoints of several software versions, which write theirs into each event."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass

from springbridge_standins.gateway.engine import Script
from springbridge_standins.http_wire import Connection, RawRequest, chunk, stream_head

# Events of a whole stream.
LAST_EVENT = 6
# Time between two events, in seconds.
EVENT_PAUSE_S = 0.005
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")

# Returns after how many events of a run the endpoint resets it; None for a run that completes.
Break = Callable[[RawRequest], int | None]


@dataclass(frozen=True)
class VersionedStream:
    """What a caller got of one stream, in one answer or over several of its requests.

    Attributes:
      versions: Version of each event, in the order in which they came.
      numbers: Ids of the events, in the same order.
    """

    versions: tuple[str, ...]
    numbers: tuple[int, ...]

    @classmethod
    def from_body(cls, body: bytes) -> "VersionedStream":
        """Return the events of a body."""
        found = EVENT.findall(body)
        versions = tuple(version.decode() for _, version in found)
        return cls(versions, tuple(int(number) for number, _ in found))

    def __add__(self, later: "VersionedStream") -> "VersionedStream":
        """Return the stream with the events that came later."""
        return VersionedStream(self.versions + later.versions, self.numbers + later.numbers)

    @property
    def is_mixed(self) -> bool:
        """Return whether endpoints of several versions wrote its events."""
        return len(set(self.versions)) > 1

    @property
    def is_whole(self) -> bool:
        """Return whether each event came once, in order, to the last."""
        return self.numbers == tuple(range(1, LAST_EVENT + 1))


def never(request: RawRequest) -> None:
    """Let each run complete."""


def versioned_event(number: int, version: str) -> bytes:
    """Return an event that names the version of the endpoint that wrote it."""
    return f"id: {number}\ndata: {version}\n\n".encode()


def versioned_stream(version: str, breaks_after: Break = never) -> Script:
    """Return the script of an endpoint of a version: it streams on from Last-Event-Id."""

    async def script(request: RawRequest, connection: Connection) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        stop = breaks_after(request)
        await connection.send(stream_head(request.request_id, version))
        for number in range(first, LAST_EVENT + 1):
            if stop is not None and number - first >= stop:
                # Time for the bytes before, which a reset may overtake.
                await asyncio.sleep(4 * EVENT_PAUSE_S)
                connection.reset()
                return
            await connection.send(chunk(versioned_event(number, version)))
            await asyncio.sleep(EVENT_PAUSE_S)
        await connection.send(chunk(b""))

    return script
