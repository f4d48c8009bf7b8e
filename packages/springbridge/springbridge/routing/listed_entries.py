"""Comparison of endpoint lists and of their entries.

Instances compare the lists that they use by a fingerprint in their heartbeats. Entries of an
endpoint are compared by its start time. Instances of older builds pass lists on without start times
or versions, so known ones are kept.
"""

from collections.abc import Collection
from dataclasses import replace

import xxhash

from springbridge.item_reader import UnreadableItem
from springbridge.routing.records import EndpointEntry, EndpointSnapshot

# Bits dropped from the 64-bit hash of a list. Heartbeats carry the rest, which instances of all
# releases in a fleet compare, so its length is fixed.
FINGERPRINT_SHIFT = 32
# Seconds after which the list shows what an endpoint writes about itself: endpoints write their
# entries every second, and readers take another half second.
ENTRY_DELAY_S = 2.0


def has_restarted(known: EndpointEntry, listed: EndpointEntry) -> bool:
    """Return whether a listed endpoint is another process than the known one with the same id.

    The new process has none of the old one's requests, cached prompts and connections. Processes
    count as the same unless both entries have a start time or a version, and these differ.
    """
    return _both_differ(known.born_ms, listed.born_ms) or _both_differ(
        known.version, listed.version
    )


def _both_differ(one: int | str | None, other: int | str | None) -> bool:
    """Return whether two values are known and differ."""
    return None not in (one, other) and one != other


def with_known_facts(listed: EndpointEntry, known: EndpointEntry) -> EndpointEntry:
    """Return a listed entry of the known process, with its start time and version if it lacks them.

    Instances of older builds pass lists on without them.
    """
    if listed.born_ms is None:
        listed = replace(listed, born_ms=known.born_ms)
    return listed if listed.version is not None else replace(listed, version=known.version)


def with_cold_only_for(snapshot: EndpointSnapshot, services: Collection[str]) -> EndpointSnapshot:
    """Return a list in which only endpoints of the given services can be marked as cold.

    For other services nothing uses the mark; its changes would only make each instance fetch a new
    list.
    """
    entries = tuple(
        replace(entry, cold=False) if entry.cold and entry.service not in services else entry
        for entry in snapshot.entries
    )
    return replace(snapshot, entries=entries)


def without_addresses(snapshot: EndpointSnapshot, addresses: Collection[str]) -> EndpointSnapshot:
    """Return a list without the entries that have one of some addresses, which are no endpoints'.

    They count as unreadable instead.
    """
    if not any(entry.address in addresses for entry in snapshot.entries):
        return snapshot
    sound = tuple(entry for entry in snapshot.entries if entry.address not in addresses)
    odd = tuple(
        UnreadableItem(entry.endpoint_id, "address: of an instance", hash(entry.address))
        for entry in snapshot.entries
        if entry.address in addresses
    )
    return replace(snapshot, entries=sound, unreadable=snapshot.unreadable + odd)


def fingerprint_of(snapshot: EndpointSnapshot) -> int:
    """Return a hash of a list's content, independent of its revision and order."""
    rows = sorted(_fingerprint_row(entry) for entry in snapshot.entries)
    return xxhash.xxh3_64_intdigest("\n".join(rows).encode()) >> FINGERPRINT_SHIFT


def _fingerprint_row(entry: EndpointEntry) -> str:
    """Return the text of an entry to be hashed.

    Without start time and version it equals the text of older builds, which do not read them.
    """
    row = f"{entry.endpoint_id} {entry.service} {entry.address} {entry.draining}"
    started = row if entry.born_ms is None else f"{row} {entry.born_ms}"
    of_version = started if entry.version is None else f"{started} {entry.version!r}"
    return f"{of_version} cold" if entry.cold else of_version
