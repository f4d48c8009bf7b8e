"""Draws what the clients of a crowd do: kind, size, chunks, where they stop, listener, key."""

import random

from springbridge_standins.gateway.crowd.kinds import (
    PATH,
    CrowdKind,
    chunked,
    endless_head,
    many_requests,
    nothing,
    with_length,
)

LISTENERS = ("callers", "callers", "callers", "directory", "ready", "peers")
SIZES = (1, 1000, 1 << 16, 1 << 20, 4 << 20, 5 << 20, 20 << 20)
CHUNKS = (1, 2, 100, 1 << 10, 1 << 16, 1 << 20)
# Largest body in chunks of a few bytes: beyond that a crowd takes longer to make than it stands.
MAX_SMALL_CHUNKED = 1 << 16
KEYS = ("key-1", "key-1", "wrong")
# One of so many crowds asks for a path without a route.
UNROUTED_SHARE = 1 / 3


def draw_kind(rng: random.Random, path: str = PATH) -> CrowdKind:
    """Draw what each client of a crowd does; most ask for a path."""
    listener, reads = rng.choice(LISTENERS), rng.random() < 0.3
    size = rng.choice(SIZES)
    asked = "/nowhere/x" if rng.random() < UNROUTED_SHARE else path
    fields = {"key": rng.choice(KEYS), "path": asked}
    short = min(size, rng.choice((0, 1, 1000, 1 << 16)))
    draw = rng.randrange(6)
    if draw == 0:
        pieces = nothing
    elif draw == 1:
        pieces = endless_head(rng.choice((100, 8000, 15_000, 100_000)))
    elif draw == 2:
        pieces = many_requests(rng.choice((2, 20, 400)), asked)
    elif draw == 3:
        chunk = rng.choice(CHUNKS)
        body = min(size, MAX_SMALL_CHUNKED) if chunk < 1000 else size
        pieces = chunked(body, min(chunk, body), min(short, body), **fields)
    else:
        announced = rng.choice((0, 0, size + 1, 1 << 40))
        pieces = with_length(size, short, announced, rng.choice((1, 1, 12)), **fields)
    return CrowdKind(pieces, listener, reads)
