"""What entries of two lists say together: the same list or not, the same run of an endpoint or not.

Instances compare the lists that they use by a hash in their heartbeats. Instances of an older build
pass lists on without the starts of endpoints, so that what is known of a start is kept.
"""

from collections.abc import Collection
from dataclasses import replace

import xxhash

from springbridge.routing.records import EndpointEntry, EndpointSnapshot

# Bits dropped from the 64-bit hash of a list. Heartbeats carry the rest, and all instances of a
# mixed fleet compare it, so that its length is fixed.
FINGERPRINT_SHIFT = 32


def has_started_again(known: EndpointEntry, listed: EndpointEntry) -> bool:
    """Return whether an endpoint under the same id is another process than the one known.

    The new process holds nothing of the old one: no request, no cached prompt, no connection. Where
    either entry does not tell its start, nothing can be concluded.
    """
    starts = (known.born_ms, listed.born_ms)
    return None not in starts and starts[0] != starts[1]


def with_known_start(listed: EndpointEntry, known: EndpointEntry) -> EndpointEntry:
    """Return a listed entry with the start that is known where it tells none.

    Instances of an older build pass lists on without the starts.
    """
    return listed if listed.born_ms is not None else replace(listed, born_ms=known.born_ms)


def with_cold_of(snapshot: EndpointSnapshot, services: Collection[str]) -> EndpointSnapshot:
    """Return a list that says of the endpoints of some services alone whether they are cold.

    Where nobody heeds it, a list would change for nothing, and each instance would fetch it.
    """
    entries = tuple(
        replace(entry, cold=False) if entry.cold and entry.service not in services else entry
        for entry in snapshot.entries
    )
    return replace(snapshot, entries=entries)


def fingerprint_of(snapshot: EndpointSnapshot) -> int:
    """Return a hash of a list's content, whatever its revision and order."""
    rows = sorted(_fingerprint_row(entry) for entry in snapshot.entries)
    return xxhash.xxh3_64_intdigest("\n".join(rows).encode()) >> FINGERPRINT_SHIFT


def _fingerprint_row(entry: EndpointEntry) -> str:
    """Return the text of an entry; without a start it is that of builds which read none."""
    row = f"{entry.endpoint_id} {entry.service} {entry.address} {entry.draining}"
    started = row if entry.born_ms is None else f"{row} {entry.born_ms}"
    return f"{started} cold" if entry.cold else started
