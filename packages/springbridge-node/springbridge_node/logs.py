"""Structured logs on standard output by eliot; never a prompt or an answer."""

import logging
import traceback
from pathlib import Path

from eliot import log_message


class LibraryHandler(logging.Handler):
    """Logs what libraries report by logger, level and kind, never by text."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one report."""
        kind = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        event("library", logger=record.name, level=record.levelname, kind=kind)


def event(name: str, **fields: object) -> None:
    """Log one event; docs/OPERATIONS.md lists the names and fields."""
    log_message(message_type=f"springbridge.{name}", **fields)


def fault(exc: BaseException, where: str) -> None:
    """Log an unexpected exception by type and line, never by its text, which may hold content."""
    frames = traceback.extract_tb(exc.__traceback__)
    line = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    event("fault", kind=type(exc).__name__, line=line, where=where)
