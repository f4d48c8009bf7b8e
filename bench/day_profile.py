"""Prints latency percentiles of each phase of requests, by route, from the nodes' log lines.

    fleetbench run SITE DAY --log all > day.txt
    python bench/day_profile.py day.txt

The phases of a served request last until its last send (admission, choice of endpoint, connection),
until the first piece of the answer (queueing and prefill at the endpoint), and until the end. The
fourth part is the longest pause between pieces. Percentiles are of served requests.
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
class EndedRequest:
    """A request that ended, from its log line.

    Attributes:
      send_ms: Time from its arrival to its last send.
      read_ms: Time from the last send to the first piece of the answer.
      stream_ms: Time from the first piece to the end.
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


def read_requests(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Yield the ended requests in the lines of a run's output; other lines are skipped."""
    for line in lines:
        if ENDED in line:
            yield _parse_request(json.loads(line[line.index("{") :]))


def _parse_request(row: dict) -> EndedRequest:
    """Return an ended request from the fields of its log line."""
    last = row["engines"][-1] if row["engines"] else {"engine": "", "sent_ms": 0}
    first_ms = row["first_ms"] or 0
    return EndedRequest(
        route=row["route"],
        result=row["result"],
        sends=row["sends"],
        endpoint=last["engine"],
        send_ms=last["sent_ms"],
        read_ms=first_ms - last["sent_ms"],
        stream_ms=row["total_ms"] - first_ms,
        pause_ms=row["pause_ms"],
    )


def profile(requests: list[EndedRequest]) -> list[str]:
    """Return the lines of the profile: percentiles and counts of results, by route."""
    by_route = defaultdict(list)
    for request in requests:
        by_route[request.route].append(request)
    lines = ["route        served  part       p50     p90     p99 ms"]
    for route, route_requests in sorted(by_route.items(), key=lambda item: -len(item[1])):
        lines += _percentile_lines(
            route, [request for request in route_requests if request.result == SERVED]
        )
        results = Counter(request.result for request in route_requests)
        results["sent again"] = sum(request.sends > 1 for request in route_requests)
        lines.append(f"{'':20}  ended: {dict(results)}")
    lines.append(f"busiest endpoint against the mean: {_busiest_to_mean(requests):.2f}")
    return lines


def _percentile_lines(route: str, served: list[EndedRequest]) -> list[str]:
    """Return the percentiles of each phase of a route's served requests, one line per phase."""
    lines = []
    for part in ("send_ms", "read_ms", "stream_ms", "pause_ms"):
        values = sorted(getattr(request, part) for request in served)
        shown = "".join(f"{_percentile(values, share):8d}" for share in PERCENTILES)
        lines.append(f"{route:12} {len(served):6}  {part:9}{shown}")
    return lines


def _percentile(values: list[int], share: float) -> int:
    """Return the value at a quantile of sorted values; 0 without values."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0


def _busiest_to_mean(requests: list[EndedRequest]) -> float:
    """Return the requests of the busiest model endpoint as a multiple of the mean; 0 without any.

    Requests without a pause between pieces, such as plain calls, are left out.
    """
    counts = Counter(
        request.endpoint for request in requests if request.endpoint and request.pause_ms
    )
    return max(counts.values()) * len(counts) / sum(counts.values()) if counts else 0.0


if __name__ == "__main__":
    with Path(sys.argv[1]).open() as log:
        print("\n".join(profile(list(read_requests(log)))))
