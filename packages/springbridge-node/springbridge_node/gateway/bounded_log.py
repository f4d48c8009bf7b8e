"""The gateway's log output: JSON lines on standard output that never block the event loop.

Owns the output's limits and what is not written yet. A slow reader of the log, or a flood of lines,
costs log lines and never a caller's time; the lines lost that way are counted for the metrics.
"""

import logging
import os
import sys

import orjson
from eliot import add_destinations

from springbridge_node import clock, logs

# Log lines a second that are written over a long time. It bounds what a flood of failures costs.
# Logging as a whole took 3% of the nodes' processor time on a quiet run with 7 nodes and 5% on a
# busy one.
LINES_PER_S = 200.0
# Log lines that may be written at once after a quiet time. Two seconds of LINES_PER_S, so that the
# first lines of an incident are kept.
LINES_BURST = 400.0
# Bytes that may wait for the log's reader before further lines are dropped. Small beside a node's
# 23 MB of memory.
UNWRITTEN_BYTES = 256 << 10
# Fields that eliot adds to each message and that no reader of these logs uses.
TASK_FIELDS = frozenset({"task_uuid", "task_level"})


class _BoundedOutput:
    """A non-blocking descriptor: lines beyond a rate or for a full pipe are only counted.

    Attributes:
      dropped: Lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._allowed = LINES_BURST
        self._filled_s = clock.now_s()
        self._unwritten = b""
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        now_s = clock.now_s()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._allowed = min(LINES_BURST, self._allowed + gained)
        self._filled_s = now_s
        if len(self._unwritten) > UNWRITTEN_BYTES:
            # Nothing else empties what waits, and the reader may have caught up meanwhile.
            self.flush()
        if self._allowed < 1 or len(self._unwritten) > UNWRITTEN_BYTES:
            self.dropped += 1
            return
        self._allowed -= 1
        self._unwritten += line.encode()
        self.flush()

    def flush(self) -> None:
        """Write what the pipe takes now; the rest goes out with a later line."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            # The pipe is full; the lines wait, and write() bounds how many.
            return
        except OSError:
            # The reader of the log is gone; the count is for the metrics.
            written = len(self._unwritten)
            self.dropped += self._unwritten.count(b"\n")
        self._unwritten = self._unwritten[written:]


_output: _BoundedOutput | None = None


def start(instance: str) -> None:
    """Send all events to standard output as JSON lines, without ever waiting for its reader."""
    global _output
    os.set_blocking(sys.stdout.fileno(), False)
    _output = _BoundedOutput(sys.stdout.fileno())
    add_destinations(_write_line)
    logging.basicConfig(handlers=[logs.LibraryHandler()], level=logging.WARNING, force=True)
    logs.event("node.start", instance=instance, counts_suspension=clock.COUNTS_SUSPENSION)


def _write_line(message: dict) -> None:
    """Write one of eliot's messages as a line."""
    fields = {name: value for name, value in message.items() if name not in TASK_FIELDS}
    _output.write(orjson.dumps(fields, default=str).decode() + "\n")


def dropped() -> int:
    """Return how many lines were not written since the start."""
    return _output.dropped if _output is not None else 0
