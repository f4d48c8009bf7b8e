"""The parts of a prompt that it may share with other requests, named the same at all nodes.

Each part but the last may be shared: the last is the request's own. Callers name the parts, so
their number and the length of their names are bounded here.
"""

from collections.abc import Sequence

import xxhash

from springbridge.routing.records import PromptPart

# Maximum number of parts of a prompt that are looked at. Prompts have fewer than ten as a rule.
MAX_SHARED_PARTS = 32
# Beginning of the key of a part. Keys are sent to peers and stored, so it must not change.
KEY_PREFIX = "part-"


def shared_part_ids(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """Return the ids of the parts but the last, each once, MAX_SHARED_PARTS at most."""
    if len(parts) < 2:
        return ()
    distinct = dict.fromkeys(part.part_id for part in parts[:-1][:MAX_SHARED_PARTS])
    return tuple(distinct)


def part_key(part_id: str) -> str:
    """Return the key of a part in crash records.

    It is of fixed length whatever a caller names the part, and differs from all fingerprints of
    requests.
    """
    return f"{KEY_PREFIX}{xxhash.xxh3_64_hexdigest(part_id.encode())}"


def is_part_key(key: str) -> bool:
    """Return whether a key of crash records is that of a part, and not a request's fingerprint."""
    return key.startswith(KEY_PREFIX)
