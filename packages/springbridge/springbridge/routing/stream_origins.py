"""Which version of a service's endpoints began each stream, for callers that take one up again.

A caller may come back at any instance, so what began its stream is kept at a few of them; each has
a table of what it received. What began a stream never changes, so no entry is ever out of date. If
one request id began two streams at different versions, nobody can tell which of them a caller
means, and the entry says so.
"""

import base64
import hashlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

# Seconds for which an origin is kept after it was recorded or looked up last: a whole attempt of a
# route with the default timeout of 60 s, and as long again for the caller to come back, or more.
ORIGIN_LIFE_S = 180.0
# Origins kept at most, the latest ones; bounds the memory to about 10 MB.
MAX_ORIGINS = 30_000
# Length of a key in bytes, as good as unique among all streams.
KEY_BYTES = 16


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The endpoint that wrote the first event of a stream.

    Attributes:
      version: Its version; None if endpoints of different versions began streams under one id.
      endpoint_id: Its id, "" if version is None.
    """

    version: str | None
    endpoint_id: str


AMBIGUOUS = StreamOrigin(None, "")


@dataclass(slots=True)
class _Entry:
    """An origin, and until when it is kept."""

    origin: StreamOrigin
    until_s: float


def stream_key(customer: str, request_id: str) -> str:
    """Return the key of the streams that a customer's requests with an id begin.

    It includes the customer, so that no other customer can ask for them or change them.
    """
    text = f"{len(customer)}:{customer}{request_id}"
    digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def merged(one: StreamOrigin | None, other: StreamOrigin | None) -> StreamOrigin | None:
    """Return what two sources together know of the origin of a stream."""
    if one is None or other is None:
        return one or other
    return one if one.version == other.version else AMBIGUOUS


class OriginTable:
    """The origins that one instance knows."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without origins; clock is monotonic, in seconds."""
        self._clock = clock
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return how many origins are kept."""
        return len(self._entries)

    def record(self, key: str, origin: StreamOrigin) -> None:
        """Add what began the streams of a key."""
        known = self._entries.get(key)
        self._keep(key, origin if known is None else merged(known.origin, origin))
        self._drop_old()

    def find(self, key: str) -> StreamOrigin | None:
        """Return what began the streams of a key, and keep it longer; None if it is not known."""
        self._drop_old()
        known = self._entries.get(key)
        if known is None:
            return None
        self._keep(key, known.origin)
        return known.origin

    def _keep(self, key: str, origin: StreamOrigin) -> None:
        """Keep an origin for its life from now on, as the latest one."""
        self._entries[key] = _Entry(origin, self._clock() + ORIGIN_LIFE_S)
        self._entries.move_to_end(key)

    def _drop_old(self) -> None:
        """Drop the origins whose life is over, and the oldest ones beyond the limit."""
        now_s = self._clock()
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.until_s > now_s and len(self._entries) <= MAX_ORIGINS:
                return
            self._entries.popitem(last=False)
