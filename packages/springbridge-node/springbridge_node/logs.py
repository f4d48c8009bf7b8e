"""Structured logs on standard output by eliot; never a prompt or an answer."""

import logging
import sys
import traceback
from pathlib import Path

from eliot import log_message, to_file
from springbridge.codes import Code


class LibraryHandler(logging.Handler):
    """Logs what libraries report by logger, level and kind, never by text."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one report."""
        kind = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        event("library", logger=record.name, level=record.levelname, kind=kind)


def start(instance: str, incarnation: str) -> None:
    """Send all log messages to standard output as JSON lines."""
    to_file(sys.stdout)
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)
    event("node.start", instance=instance, incarnation=incarnation)


def event(name: str, **fields: object) -> None:
    """Log one event; docs/OPERATIONS.md lists the names and fields."""
    log_message(message_type=f"springbridge.{name}", **fields)


def fault(exc: BaseException, where: str) -> None:
    """Log an unexpected exception by type and line, never by its text, which may hold content."""
    frames = traceback.extract_tb(exc.__traceback__)
    line = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    event("fault", kind=type(exc).__name__, line=line, where=where)


def violation(name: str, detail: str) -> None:
    """Log a violated invariant."""
    event("invariant.violated", invariant=name, detail=detail)


def ended(request_class: str, customer: str, code: Code, seconds: float) -> None:
    """Log how a request ended."""
    event(
        "request.ended",
        request_class=request_class,
        customer=customer,
        code=int(code),
        seconds=round(seconds, 4),
    )
