"""Consistent hashing: assigns each key a few nodes, in several failure domains, at a low cost.

For keys that come with every request, where rendezvous hashing (hashing.py) would compute a hash of
each node. When a node is removed, only its own keys move to others.
"""

from bisect import bisect
from collections.abc import Iterator, Mapping
from itertools import chain, islice

import xxhash

# Points of each node on the ring. More spread the keys more evenly and make a new ring costlier.
POINTS_PER_NODE = 8


class HashRing:
    """The nodes of one view of the fleet, placed on a ring of hashes."""

    def __init__(self, domains: Mapping[str, str]) -> None:
        """Place the nodes.

        Args:
          domains: The failure domain of each node, by the node's name.
        """
        self._domains = dict(domains)
        self._points = sorted(
            (xxhash.xxh3_64_intdigest(f"{name}\x00{number}".encode()), name)
            for name in domains
            for number in range(POINTS_PER_NODE)
        )

    def nodes_for(self, key: str, count: int) -> list[str]:
        """Return up to `count` nodes for a key, the first two in different failure domains.

        If all nodes are in one domain, so are the first two. The order is the same wherever the
        same nodes are known.
        """
        following = self._clockwise(key)
        first = list(islice(following, count))
        if len(first) < 2:
            return first
        domain = self._domains[first[0]]
        apart = (name for name in chain(first[1:], following) if self._domains[name] != domain)
        second = next(apart, first[1])
        others = [name for name in first[1:] if name != second]
        return [first[0], second, *others][:count]

    def _clockwise(self, key: str) -> Iterator[str]:
        """Yield each node once, in the order in which its first point follows the key's."""
        start = bisect(self._points, (xxhash.xxh3_64_intdigest(key.encode()), ""))
        passed = set()
        for offset in range(len(self._points)):
            _, name = self._points[(start + offset) % len(self._points)]
            if name not in passed:
                passed.add(name)
                yield name
