"""An estimate of which prompt parts an endpoint keeps, from what this node sent there.

A part counts as kept only if all parts before it are kept too, so that a part is named by the chain
that leads to it. The least recently used give way, as at the endpoint. Other nodes' requests are
not seen; the estimate is a hint for the choice of endpoint and nothing else.
"""

from collections import OrderedDict

from springbridge.routing.records import PromptPart

Chain = list[tuple[str, PromptPart]]


class PrefixCache:
    """Parts that an endpoint probably keeps, the least recently used first."""

    def __init__(self, capacity: int = 0) -> None:
        """Keep the capacity in tokens; nothing is kept with a capacity of 0."""
        self.capacity = capacity
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def kept_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens at the beginning of a prompt that are probably kept."""
        return self.kept_of(chain_of(parts))

    def kept_of(self, chain: Chain) -> int:
        """Return the same for a chain that is looked up at many endpoints."""
        tokens = 0
        for name, part in chain:
            if name not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def note(self, parts: tuple[PromptPart, ...]) -> None:
        """Note that the endpoint read a prompt."""
        if not self.capacity:
            return
        for name, part in reversed(chain_of(parts)):
            if name not in self._parts:
                self._tokens += part.tokens
                self._parts[name] = part.tokens
            self._parts.move_to_end(name)
        while self._tokens > self.capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


def chain_of(parts: tuple[PromptPart, ...]) -> Chain:
    """Return each part with the name of the chain that ends in it."""
    names = []
    name = ""
    for part in parts:
        name = f"{name}/{part.part_id}"
        names.append((name, part))
    return names
