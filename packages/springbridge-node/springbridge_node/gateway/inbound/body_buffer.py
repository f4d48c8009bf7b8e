"""Keeps the body of a request while it arrives and until the request has been served.

A large body is kept in a mapping of its own, of which only what has arrived takes memory, and which
goes back to the system as a whole. On the heap, large bodies of many clients leave holes that the
process keeps.
"""

import mmap

# Bytes up to which a body is kept on the heap.
HEAP_BYTES = 64 << 10


class BodyBuffer:
    """The bytes of a body that have arrived."""

    def __init__(self, most_bytes: int) -> None:
        """Start empty.

        Args:
          most_bytes: Largest size of the body; no more may be appended.
        """
        self._most_bytes = most_bytes
        self._heap = bytearray()
        self._mapping: mmap.mmap | None = None
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, piece: bytes | bytearray) -> None:
        """Append bytes."""
        self._size += len(piece)
        if self._mapping is None and self._size > HEAP_BYTES:
            self._move_to_mapping()
        if self._mapping is None:
            self._heap += piece
        else:
            self._mapping.write(piece)

    def content(self) -> bytes | memoryview:
        """Return all bytes; none may be appended any more."""
        if self._mapping is None:
            return bytes(self._heap)
        return memoryview(self._mapping).toreadonly()[: self._size]

    def clear(self) -> None:
        """Give up all bytes."""
        self._heap.clear()
        self._mapping = None
        self._size = 0

    def _move_to_mapping(self) -> None:
        """Go on in a mapping that has room for the largest size."""
        self._mapping = mmap.mmap(-1, self._most_bytes, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
        self._mapping.write(self._heap)
        self._heap.clear()
