"""Prints where the milliseconds of requests went on a day, by route, from the nodes' log lines.

    fleetbench run SITE DAY --log all > day.txt
    python bench/day_profile.py day.txt

The parts of a served request: until it was sent (admission, choice, connection), until the first
piece (waiting to be read, and reading), and until the end. Percentiles are of served requests.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

ENDED = '"message_type":"springbridge.request.ended"'
PERCENTILES = (0.5, 0.9, 0.99)
SERVED = "served"


@dataclass(frozen=True, slots=True)
class Ended:
    """The end of a request; times in milliseconds.

    Attributes:
      send_ms: From its arrival to its last send.
      read_ms: From that to the first piece.
      stream_ms: From that to the end.
      pause_ms: Longest time between two pieces.
    """

    route: str
    result: str
    sends: int
    endpoint: str
    send_ms: int
    read_ms: int
    stream_ms: int
    pause_ms: int


def read_lines(lines: Iterable[str]) -> Iterator[Ended]:
    """Return the ends of requests that lines of a run's output tell of."""
    for line in lines:
        if ENDED in line:
            yield _ended(json.loads(line[line.index("{") :]))


def _ended(row: dict) -> Ended:
    """Return the end of a request from its log line."""
    last = row["engines"][-1] if row["engines"] else {"engine": "", "sent_ms": 0}
    first_ms = row["first_ms"] or 0
    return Ended(
        route=row["route"],
        result=row["result"],
        sends=row["sends"],
        endpoint=last["engine"],
        send_ms=last["sent_ms"],
        read_ms=first_ms - last["sent_ms"],
        stream_ms=row["total_ms"] - first_ms,
        pause_ms=row["pause_ms"],
    )


def profile(found: list[Ended]) -> list[str]:
    """Return the lines of the profile: a table, and how requests ended, by route."""
    by_route = defaultdict(list)
    for each in found:
        by_route[each.route].append(each)
    lines = ["route        served  part       p50     p90     p99 ms"]
    for route, ends in sorted(by_route.items(), key=lambda item: -len(item[1])):
        lines += _table(route, [each for each in ends if each.result == SERVED])
        results = Counter(each.result for each in ends)
        results["sent again"] = sum(each.sends > 1 for each in ends)
        lines.append(f"{'':20}  ended: {dict(results)}")
    lines.append(f"busiest endpoint against the mean: {_busiest(found):.2f}")
    return lines


def _table(route: str, served: list[Ended]) -> list[str]:
    """Return the percentiles of each part of a route's served requests."""
    lines = []
    for part in ("send_ms", "read_ms", "stream_ms", "pause_ms"):
        values = sorted(getattr(each, part) for each in served)
        shown = "".join(f"{_percentile(values, share):8d}" for share in PERCENTILES)
        lines.append(f"{route:12} {len(served):6}  {part:9}{shown}")
    return lines


def _percentile(values: list[int], share: float) -> int:
    """Return the value below which a share of the sorted values lies, 0 without any."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0


def _busiest(found: list[Ended]) -> float:
    """Return how many times the mean of its kind the busiest endpoint of model routes has."""
    counts = Counter(each.endpoint for each in found if each.endpoint and each.pause_ms)
    return max(counts.values()) * len(counts) / sum(counts.values()) if counts else 0.0


if __name__ == "__main__":
    with Path(sys.argv[1]).open() as log:
        print("\n".join(profile(list(read_lines(log)))))
