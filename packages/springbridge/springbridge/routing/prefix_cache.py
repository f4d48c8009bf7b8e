"""Estimate of which prompt parts an endpoint has in its prefix cache.

Owns, for one endpoint, the parts of the prompts that were sent there, as far as notices of them
arrived. A part is cached only together with all parts before it, so its key is the whole prefix
that ends with it. When the capacity is exceeded, the least recently used parts are evicted, as at
the endpoint. The estimate may be wrong; only the choice of endpoint relies on it.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from springbridge.routing.records import PromptPart


@dataclass(frozen=True, slots=True)
class Prefix:
    """A prompt from its beginning to the end of one of its parts.

    Attributes:
      name: Cache key: the ids of its parts in order.
      last_tokens: Length of its last part in tokens.
    """

    name: str
    last_tokens: int


class PrefixCache:
    """The prompt parts that an endpoint has probably cached, in LRU order.

    Attributes:
      capacity: Capacity of the cache in tokens; with 0, nothing is recorded.
    """

    def __init__(self, capacity: int = 0) -> None:
        """Create an empty cache with a capacity in tokens."""
        self.capacity = capacity
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return how many tokens from the beginning of a prompt are probably cached."""
        return self.cached_tokens_of(prefixes(parts))

    def cached_tokens_of(self, prompt: Sequence[Prefix]) -> int:
        """Return the same for the prefixes of a prompt, computed once for many endpoints."""
        tokens = 0
        for prefix in prompt:
            if prefix.name not in self._parts:
                break
            tokens += prefix.last_tokens
        return tokens

    def add(self, parts: tuple[PromptPart, ...]) -> None:
        """Record that the endpoint gets a prompt and caches its parts."""
        if not self.capacity:
            return
        for prefix in reversed(prefixes(parts)):
            if prefix.name not in self._parts:
                self._tokens += prefix.last_tokens
                self._parts[prefix.name] = prefix.last_tokens
            self._parts.move_to_end(prefix.name)
        while self._tokens > self.capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


def prefixes(parts: tuple[PromptPart, ...]) -> list[Prefix]:
    """Return all prefixes of a prompt, the shortest first."""
    found = []
    name = ""
    for part in parts:
        name = f"{name}/{part.part_id}"
        found.append(Prefix(name, part.tokens))
    return found
