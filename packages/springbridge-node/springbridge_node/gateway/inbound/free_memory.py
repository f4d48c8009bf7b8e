"""Gives memory that is free inside the process back to the system.

The C library keeps freed memory between blocks that are still in use. After a crowd of clients that
is most of what they had taken, and a second crowd would add to it.
"""

import functools
import gc
from collections.abc import Callable

from springbridge_node import logs


def release_free_memory() -> None:
    """Give free memory back, where the C library can; takes some 50 ms."""
    # Requests that ended with an error are freed only by the collector.
    gc.collect()
    _trim()(0)


@functools.cache
def _trim() -> Callable[[int], int]:
    """Return the C library's function for it; one that does nothing where there is none."""
    # Imported here: most processes never need it.
    import ctypes

    try:
        return ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError) as exc:
        # Other C libraries give memory back by themselves, or never do.
        logs.event("inbound.memory_not_released", reason=type(exc).__name__)
        return lambda padding: 0
