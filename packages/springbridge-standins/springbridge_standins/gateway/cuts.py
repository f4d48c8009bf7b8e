"""Cuts of the paths between single instances and endpoints, for instances that run in one process.

A loopback address cannot be cut for one instance only, so the outgoing streams of the node are
replaced by CuttableStream, which fails as a socket does when its path is cut. The node under test
does not know of it. Which instance opens a stream follows from the context variable INSTANCE, which
all tasks and callbacks of an instance inherit from its start.
"""

import asyncio
import contextlib
from collections.abc import Collection, Iterable, Iterator
from contextvars import ContextVar
from enum import Enum, auto
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from springbridge_node.gateway.http import http_connection
from tornado.iostream import IOStream, StreamClosedError

if TYPE_CHECKING:
    from springbridge_standins.gateway.fleet import Fleet

# IP number of the instance whose code runs.
INSTANCE: ContextVar[str] = ContextVar("instance", default="")
# Seconds after which a connection whose path hangs breaks, as TCP_USER_TIMEOUT sets for the sockets
# that these streams replace.
BREAKS_AFTER_S = 2.5


class CutKind(Enum):
    """What becomes of connections over a path that is cut.

    HANG: nothing arrives any more, and new connections do not come up. RESET: open connections are
    reset when they are used, and new ones are refused. REFUSED: open ones live on, and new ones are
    refused.
    """

    HANG = auto()
    RESET = auto()
    REFUSED = auto()


class Path(NamedTuple):
    """A path from an instance, given by its IP number, to the address of an endpoint."""

    instance: str
    address: str


class PathCuts:
    """The cuts in force, and the streams that they concern."""

    def __init__(self) -> None:
        """Start without cuts."""
        self._kinds: dict[Path, CutKind] = {}
        self._streams: set[CuttableStream] = set()

    def cut(self, instance: str, addresses: Collection[str], kind: CutKind) -> None:
        """Cut the paths from an instance to some addresses."""
        self._kinds |= {Path(instance, address): kind for address in addresses}
        for stream in [each for each in self._streams if self.kind_of(each.path) is kind]:
            stream.cut(kind)

    def mend(self, instance: str) -> None:
        """Mend all paths of an instance."""
        self._kinds = {
            path: kind for path, kind in self._kinds.items() if path.instance != instance
        }
        for stream in [each for each in self._streams if each.path.instance == instance]:
            stream.mend()

    def kind_of(self, path: Path) -> CutKind | None:
        """Return how a path is cut, None if it is not."""
        return self._kinds.get(path)

    def opened(self, stream: "CuttableStream") -> None:
        """Keep a stream, which later cuts of its path concern."""
        self._streams.add(stream)

    def closed(self, stream: "CuttableStream") -> None:
        """Drop a stream."""
        self._streams.discard(stream)


class CuttableStream(IOStream):
    """A stream that fails as its path is cut.

    Attributes:
      path: The path that it takes.
    """

    def __init__(self, cuts: PathCuts, *args: object, **kwargs: object) -> None:
        """Create an unconnected stream."""
        super().__init__(*args, **kwargs)
        self.path = Path(INSTANCE.get(), "")
        self._cuts = cuts
        self._hangs = False
        self._is_reset = False

    async def connect(self, address: tuple[str, int], server_hostname: str | None = None) -> object:
        """Connect, unless the path is cut."""
        self.path = Path(self.path.instance, f"{address[0]}:{address[1]}")
        kind = self._cuts.kind_of(self.path)
        if kind is CutKind.HANG:
            await asyncio.Event().wait()
        if kind is not None:
            refused = ConnectionRefusedError()
            self.close(exc_info=refused)
            raise StreamClosedError(real_error=refused)
        await super().connect(address, server_hostname)
        self._cuts.opened(self)
        return self

    def cut(self, kind: CutKind) -> None:
        """Fail as the kind of cut says."""
        if kind is CutKind.HANG:
            self._hang()
        elif kind is CutKind.RESET:
            self._is_reset = True
            if self.reading():
                self.close(exc_info=ConnectionResetError())

    def mend(self) -> None:
        """Deliver what is held up; a stream that was reset stays so."""
        if not self._hangs:
            return
        self._hangs = False
        if not self.closed():
            self._add_io_state(self.io_loop.READ | self.io_loop.WRITE)

    def _hang(self) -> None:
        """Neither read nor write from now on, and break after BREAKS_AFTER_S."""
        self._hangs = True
        if self._state is not None:
            self.io_loop.remove_handler(self.fileno())
            self._state = None
        asyncio.get_running_loop().call_later(BREAKS_AFTER_S, self._break)

    def _break(self) -> None:
        """Break the connection if its path still hangs."""
        if self._hangs:
            self.close(exc_info=TimeoutError())

    def close_fd(self) -> None:
        """Close the socket."""
        self._cuts.closed(self)
        super().close_fd()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, nothing while the path hangs."""
        return None if self._hangs else super().read_from_fd(buf)

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket.

        Raises:
          BlockingIOError: The path hangs.
          ConnectionResetError: The path resets connections.
        """
        if self._is_reset:
            raise ConnectionResetError
        if self._hangs:
            raise BlockingIOError
        return super().write_to_fd(data)

    def _add_io_state(self, state: int) -> None:
        """Wait for events of the socket, unless the path hangs."""
        if not self._hangs:
            super()._add_io_state(state)


@contextlib.contextmanager
def cuttable_paths() -> Iterator[PathCuts]:
    """Make the outgoing connections of all nodes in this process cuttable during the block."""
    cuts = PathCuts()
    plain = http_connection.IOStream
    http_connection.IOStream = partial(CuttableStream, cuts)
    try:
        yield cuts
    finally:
        http_connection.IOStream = plain


@contextlib.contextmanager
def running_as(instance: str) -> Iterator[None]:
    """Let tasks that are created in the block run as an instance, given by its IP number."""
    token = INSTANCE.set(instance)
    try:
        yield
    finally:
        INSTANCE.reset(token)


def cut_all(cuts: PathCuts, fleet: "Fleet", numbers: Iterable[int], kind: CutKind) -> None:
    """Cut the paths from some nodes of a fleet to all its engines."""
    addresses = [engine.address for engine in fleet.engines.values()]
    for number in numbers:
        cuts.cut(fleet.nodes[number].settings.ip, addresses, kind)
