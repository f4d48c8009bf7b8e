"""What only the class router logs: its start, the end of a request and violated invariants."""

import logging
import sys

from eliot import to_file
from springbridge.codes import Code

from springbridge_node import logs


def start(instance: str, incarnation: str) -> None:
    """Send all log messages to standard output as JSON lines."""
    to_file(sys.stdout)
    logging.basicConfig(handlers=[logs.LibraryHandler()], level=logging.WARNING, force=True)
    logs.event("node.start", instance=instance, incarnation=incarnation)


def violation(name: str, detail: str) -> None:
    """Log a violated invariant."""
    logs.event("invariant.violated", invariant=name, detail=detail)


def ended(request_class: str, customer: str, code: Code, seconds: float) -> None:
    """Log how a request ended."""
    logs.event(
        "request.ended",
        request_class=request_class,
        customer=customer,
        code=int(code),
        seconds=round(seconds, 4),
    )
