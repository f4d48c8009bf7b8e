"""The gateway's log output: JSON lines on standard output that never block the event loop."""

import logging
import os
import sys
import time

import orjson
from eliot import add_destinations

from springbridge_node import logs

LINES_PER_S = 200.0
LINES_BURST = 400.0
UNWRITTEN_BYTES = 256 << 10
TASK_FIELDS = frozenset({"task_uuid", "task_level"})


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


def start(instance: str) -> None:
    """Send all log messages to standard output as JSON lines, never waiting for its reader."""
    global _output
    os.set_blocking(sys.stdout.fileno(), False)
    _output = _BoundedOutput(sys.stdout.fileno())
    add_destinations(_write_line)
    logging.basicConfig(handlers=[logs.LibraryHandler()], level=logging.WARNING, force=True)
    logs.event("node.start", instance=instance)


def _write_line(message: dict) -> None:
    """Write one message of the log library as a line."""
    fields = {name: value for name, value in message.items() if name not in TASK_FIELDS}
    _output.write(orjson.dumps(fields, default=str).decode() + "\n")


def dropped() -> int:
    """Return how many lines were not written."""
    return _output.dropped if _output is not None else 0
