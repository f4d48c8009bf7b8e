"""Stand-in of a connection on which given bytes arrive, in given pieces, before it is closed."""

import asyncio
from collections.abc import Iterable

from tornado.iostream import StreamClosedError


class PiecesStream:
    """Stands for a connection on which some pieces arrive before it is closed in order."""

    def __init__(self, pieces: Iterable[bytes]) -> None:
        """Set the pieces."""
        self._pieces = [piece for piece in pieces if piece]

    async def _next(self) -> bytes:
        await asyncio.sleep(0)
        if not self._pieces:
            raise StreamClosedError
        return self._pieces.pop(0)

    def read_bytes(self, count: int, partial: bool) -> "asyncio.Future[bytes]":
        """Return the next piece, whatever its size."""
        return asyncio.ensure_future(self._next())

    def closed(self) -> bool:
        """Return whether all was read."""
        return not self._pieces
