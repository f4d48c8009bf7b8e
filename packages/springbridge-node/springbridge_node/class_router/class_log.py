"""The class router's log output, and the events that only it logs."""

import logging
import sys

from eliot import to_file
from springbridge.codes import Code

from springbridge_node import clock, logs


def start(instance: str, incarnation: str) -> None:
    """Log all events to standard output as JSON lines, and log the start of the node."""
    to_file(sys.stdout)
    logging.basicConfig(handlers=[logs.LibraryHandler()], level=logging.WARNING, force=True)
    logs.event(
        "node.start",
        instance=instance,
        incarnation=incarnation,
        counts_suspension=clock.COUNTS_SUSPENSION,
    )


def violation(name: str, detail: str) -> None:
    """Log a violated invariant."""
    logs.event("invariant.violated", invariant=name, detail=detail)


def ended(request_class: str, customer: str, code: Code, seconds: float) -> None:
    """Log how a request ended and how many seconds it took."""
    logs.event(
        "request.ended",
        request_class=request_class,
        customer=customer,
        code=int(code),
        seconds=round(seconds, 4),
    )
