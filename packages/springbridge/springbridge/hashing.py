"""Weighted rendezvous hashing, which assigns roles to nodes and prompts to endpoints.

Every process that sees the same candidates computes the same ranking, so no message is needed. When
a candidate is removed, only its own keys move to others.
"""

import math
from collections.abc import Iterable, Mapping

import xxhash

# Number of values of the 64-bit hash; scales it to a fraction between 0 and 1.
HASH_SPAN = 2.0**64


def score(key: str, candidate: str, weight: float = 1.0) -> float:
    """Return the score of a candidate for a key; the highest score wins.

    Args:
      key: What is to be assigned.
      candidate: Name of the candidate.
      weight: Share of the keys that the candidate should win, relative to the other candidates'
        weights; above zero.
    """
    digest = xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())
    return -weight / math.log((digest + 0.5) / HASH_SPAN)


def owner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score for the key, or None without candidates."""
    return max(candidates, key=lambda candidate: score(key, candidate), default=None)


def ranking(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the candidates from the highest score for the key to the lowest."""
    return sorted(weights, key=lambda name: score(key, name, weights[name]), reverse=True)
