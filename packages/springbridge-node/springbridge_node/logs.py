"""Structured logs on standard output by eliot; never a prompt or an answer."""

import logging
import os
import sys
import time
import traceback
from pathlib import Path

import orjson
from eliot import add_destinations, log_message, to_file
from springbridge.codes import Code

LINES_PER_S = 200.0
LINES_BURST = 400.0
UNWRITTEN_BYTES = 256 << 10
TASK_FIELDS = frozenset({"task_uuid", "task_level"})


class LibraryHandler(logging.Handler):
    """Logs what libraries report by logger, level and kind, never by text."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one report."""
        kind = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        event("library", logger=record.name, level=record.levelname, kind=kind)


class _BoundedOutput:
    """Standard output that never blocks: lines beyond a rate or a full pipe are only counted.

    Attributes:
      dropped: Lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._allowed = LINES_BURST
        self._filled_s = time.monotonic()
        self._unwritten = b""
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._allowed = min(LINES_BURST, self._allowed + gained)
        self._filled_s = now_s
        if self._allowed < 1 or len(self._unwritten) > UNWRITTEN_BYTES:
            self.dropped += 1
            return
        self._allowed -= 1
        self._unwritten += line.encode()
        self.flush()

    def flush(self) -> None:
        """Write what the pipe takes now."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]


_output: _BoundedOutput | None = None


def start_bounded(instance: str) -> None:
    """Send all log messages to standard output as JSON lines, never waiting for its reader."""
    global _output
    os.set_blocking(sys.stdout.fileno(), False)
    _output = _BoundedOutput(sys.stdout.fileno())
    add_destinations(_write_line)
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)
    event("node.start", instance=instance)


def _write_line(message: dict) -> None:
    """Write one message of the log library as a line."""
    fields = {name: value for name, value in message.items() if name not in TASK_FIELDS}
    _output.write(orjson.dumps(fields, default=str).decode() + "\n")


def dropped() -> int:
    """Return how many lines were not written."""
    return _output.dropped if _output is not None else 0


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
