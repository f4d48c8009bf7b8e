"""The latest successful answers of a node, by the parts of their prompts.

A part that was answered seconds ago is hardly what crashes endpoints now, even if the first crash
comes after that answer: so what is asked for often is never suspected. To remember an answer costs
one append; the parts are indexed only when an endpoint has crashed and somebody asks.

Bounded: the latest MAX_ANSWERS, and as many parts as they have. Relies on a monotonic clock in
seconds.
"""

from collections import deque
from collections.abc import Callable, Sequence

from springbridge.crash_records import NEVER_S
from springbridge.prompt_parts import part_key, shared_part_ids
from springbridge.routing.records import PromptPart

# Number of remembered answers: half a minute of a node's share of the largest fleet's requests.
# About a kilobyte each.
MAX_ANSWERS = 1024
# Seconds for which a success speaks for a part. Longer than a crashed endpoint takes to restart
# and to answer again, since all endpoints of a service may crash at once.
CREDIT_S = 30.0


class RecentSuccesses:
    """The parts of prompts that endpoints answered for this node, and when."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without answers; the clock returns monotonic seconds."""
        self._clock = clock
        self._new: deque[tuple[float, Sequence[PromptPart]]] = deque(maxlen=MAX_ANSWERS)
        self._indexed: deque[tuple[float, tuple[str, ...]]] = deque()
        self._last_s: dict[str, float] = {}

    def record(self, parts: Sequence[PromptPart]) -> None:
        """Record that a prompt with these parts was answered."""
        if len(parts) > 1:
            self._new.append((self._clock(), parts))

    def last_s(self, key: str) -> float:
        """Return when a part was last answered, by the key of the part; NEVER_S if not lately."""
        self._index()
        return self._last_s.get(key, NEVER_S)

    def _index(self) -> None:
        """Index the answers that are new, and drop the oldest beyond MAX_ANSWERS."""
        while self._new:
            at_s, parts = self._new.popleft()
            keys = tuple(map(part_key, shared_part_ids(parts)))
            self._indexed.append((at_s, keys))
            self._last_s.update(dict.fromkeys(keys, at_s))
        while len(self._indexed) > MAX_ANSWERS:
            at_s, keys = self._indexed.popleft()
            for key in keys:
                if self._last_s.get(key) == at_s:
                    del self._last_s[key]
