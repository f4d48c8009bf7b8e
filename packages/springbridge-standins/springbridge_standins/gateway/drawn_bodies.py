"""Bodies of answers that are drawn: events of a stream, plain bodies, and pieces of them."""

import random
from collections.abc import Iterator

LINE_ENDS = (b"\n", b"\r\n", b"\r")
# Harmless last bytes of a stream, and their share.
LAST_LINES, LAST_LINES_SHARE = (b": bye", b"retry: 9", b""), 0.2
MAX_EVENTS = 8
# Longest plain body, in bytes, and the share of bodies beyond what a node buffers.
MAX_BODY_BYTES, LARGE_BODY_BYTES, LARGE_SHARE = 2_000, 300_000, 0.05
# Number of pieces at the most.
MAX_PIECES = 12


def draw_events(rng: random.Random) -> tuple[bytes, ...]:
    """Return the events of a stream, at times with harmless last lines."""
    end = rng.choice(LINE_ENDS)
    events = [
        b"id: %d%sdata: piece-%d-%d%s%s" % (number, end, number, rng.randrange(1000), end, end)
        for number in range(1, rng.randint(1, MAX_EVENTS) + 1)
    ]
    if rng.random() < LAST_LINES_SHARE:
        events.append(rng.choice(LAST_LINES) + end)
    return tuple(events)


def draw_body(rng: random.Random) -> bytes:
    """Return a plain body."""
    large = rng.random() < LARGE_SHARE
    return rng.randbytes(LARGE_BODY_BYTES if large else rng.randint(0, MAX_BODY_BYTES))


def draw_pieces(rng: random.Random, data: bytes) -> Iterator[bytes]:
    """Yield some bytes in pieces of drawn sizes, from one byte up."""
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(MAX_PIECES)))
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        if start < end:
            yield data[start:end]
