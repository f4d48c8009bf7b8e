"""The ages of many members' heartbeats as one short text.

A digest with the age of most members keeps every node's view fresh, if each age is short. An entry
takes 5 bytes, 6.7 as text, against some 50 for a member's row: a hash of the incarnation and the
age in steps.
"""

import base64
import math
import struct
import zlib
from collections.abc import Iterable
from functools import lru_cache

from springbridge.membership import HeartbeatAge

# Seconds of one step of an age. A byte holds all ages up to 5.1 s, beyond the time to suspicion of
# 380 nodes, 2.8 s. An age is rounded up, since one that got younger with each node that passes it
# on would keep a member alive that has ended.
STEP_S = 0.02
# Steps that the byte of an entry holds.
MOST_STEPS = 255
# Hash of the incarnation (4 bytes) and steps of the age (1 byte). Two of 500 incarnations have the
# same hash in one of 30,000 fleets; then the younger age counts for both.
ENTRY = struct.Struct("<IB")
# Hashes that are kept, the latest ones. Above the incarnations that a fleet of 380 nodes has in the
# minute for which ended ones are known.
KEYS_KEPT = 2048


@lru_cache(maxsize=KEYS_KEPT)
def key_of(incarnation: str) -> int:
    """Return the hash that stands for an incarnation; equal at all nodes."""
    return zlib.crc32(incarnation.encode())


def encode(ages: Iterable[HeartbeatAge]) -> str:
    """Return the text of some ages; those too old for a step are left out."""
    entries = ((key_of(age.incarnation), math.ceil(age.age_s / STEP_S)) for age in ages)
    packed = b"".join(ENTRY.pack(key, steps) for key, steps in entries if steps <= MOST_STEPS)
    return base64.b64encode(packed).decode()


def decode(text: str) -> dict[int, float]:
    """Return the ages in a text, in seconds, by the hash of their incarnation.

    Raises:
      ValueError: The text is not one that encode() returns.
    """
    try:
        entries = list(ENTRY.iter_unpack(base64.b64decode(text, validate=True)))
    except struct.error as exc:
        raise ValueError("not whole entries") from exc
    return {key: steps * STEP_S for key, steps in entries}
