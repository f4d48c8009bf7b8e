"""Weighted rendezvous hashing: which node takes on a role, and which engine suits a prompt.

Every process that sees the same candidates comes to the same ranking, so no process has to be
asked. A candidate that goes away moves only its own keys.
"""

import math
from collections.abc import Iterable, Mapping

import xxhash

HASH_SPAN = 2.0**64


def score(key: str, candidate: str, weight: float = 1.0) -> float:
    """Return the score of a candidate for a key; the highest score wins.

    Args:
      weight: Relative share of keys that the candidate is to win; it must be above zero.
    """
    digest = xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())
    return -weight / math.log((digest + 0.5) / HASH_SPAN)


def owner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate that owns the key, or None where there is no candidate."""
    return max(candidates, key=lambda candidate: score(key, candidate), default=None)


def ranking(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the candidates from the highest score for the key to the lowest."""
    return sorted(weights, key=lambda name: score(key, name, weights[name]), reverse=True)
