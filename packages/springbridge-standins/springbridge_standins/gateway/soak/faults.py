"""Checks that no node of the soak met an unforeseen exception.

Callers may see nothing of one: their connection is closed, as by a node that ends, or a background
task has skipped a step. The node's log tells.
"""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import orjson

from springbridge_standins.gateway.soak.state import Soak

# Events of a node's log that stand for an exception that nobody handles: the product's own, and
# what libraries log as errors, such as the exception of a callback or of a task.
FAULT = "springbridge.fault"
LIBRARY = "springbridge.library"
LIBRARY_ERRORS = frozenset({"ERROR", "CRITICAL"})


class NodeFault(NamedTuple):
    """A kind of unforeseen exception.

    Attributes:
      kind: Type of the exception.
      place: Line of the product that raised it, or the logger of a library.
      where: Part of the product that caught it, "" if a library did.
    """

    kind: str
    place: str
    where: str


def check_faults(soak: Soak, folder: Path) -> None:
    """Check the logs that the nodes have written into a folder; a violation for each kind."""
    found: Counter[NodeFault] = Counter()
    for log in sorted(folder.glob("*.log")):
        found.update(node_faults(log))
    for fault, count in found.items():
        detail = f"{fault.kind} at {fault.place} in {fault.where or 'a library'}, {count} times"
        soak.violated("a node meets no unforeseen exception", detail)


def node_faults(log: Path) -> Iterator[NodeFault]:
    """Yield the unforeseen exceptions in a node's log, in their order."""
    for line in log.read_bytes().splitlines():
        if FAULT.encode() not in line and LIBRARY.encode() not in line:
            continue
        try:
            event = orjson.loads(line)
        except orjson.JSONDecodeError:
            # A line that was being written when its node was killed.
            continue
        if event["message_type"] == FAULT:
            yield NodeFault(event["kind"], event["line"], event["where"])
        elif event["message_type"] == LIBRARY and event["level"] in LIBRARY_ERRORS:
            yield NodeFault(event["kind"], event["logger"], "")
