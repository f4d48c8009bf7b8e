"""Structured log events by eliot, for both programs.

Owns the form of an event. Each program sends the events to standard output in its own way. Nothing
logged may hold a prompt or an answer, so reports of libraries and exceptions are logged without
their texts.
"""

import logging
import traceback
from pathlib import Path

from eliot import log_message


class LibraryHandler(logging.Handler):
    """Turns a library's report into an event with its logger, level and exception type."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one report without its text, which may hold content."""
        kind = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        event("library", logger=record.name, level=record.levelname, kind=kind)


def event(name: str, **fields: object) -> None:
    """Log one event; docs/OPERATIONS.md lists the names and fields."""
    log_message(message_type=f"springbridge.{name}", **fields)


def fault(exc: BaseException, where: str) -> None:
    """Log an unexpected exception by type and line, without its text, which may hold content.

    Args:
      where: The part of the program that caught it.
    """
    frames = traceback.extract_tb(exc.__traceback__)
    line = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    event("fault", kind=type(exc).__name__, line=line, where=where)
