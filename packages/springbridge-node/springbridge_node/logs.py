"""Structured log events for both programs, by way of eliot.

Owns the format of an event; each program has its own output. Log lines must never contain a prompt
or an answer, so records of libraries and exceptions are logged without their texts.
"""

import logging
import traceback
from collections import Counter
from pathlib import Path

from eliot import log_message

# Unexpected exceptions since the process started, by the part of the program that caught them.
FAULTS: Counter[str] = Counter()


class LibraryHandler(logging.Handler):
    """Turns a library's log record into an event with its logger, level and exception type."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record without its text, which may contain a prompt or an answer."""
        kind = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        event("library", logger=record.name, level=record.levelname, kind=kind)


def event(name: str, **fields: object) -> None:
    """Log one event; docs/OPERATIONS.md lists the names and fields."""
    log_message(message_type=f"springbridge.{name}", **fields)


def fault(exc: BaseException, where: str, request_id: str = "", engine: str = "") -> None:
    """Log and count an unexpected exception by type and line, without its text.

    The text may contain a prompt or an answer.

    Args:
      where: The part of the program that caught it, or the stage of the request that met it.
      request_id: The request that met it, "" if it concerns none.
      engine: Id of the endpoint that it concerns, "" if it concerns none.
    """
    FAULTS[where] += 1
    frames = traceback.extract_tb(exc.__traceback__)
    line = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    event(
        "fault",
        kind=type(exc).__name__,
        line=line,
        where=where,
        request_id=request_id,
        engine=engine,
    )
