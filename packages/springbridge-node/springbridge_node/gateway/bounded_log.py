"""The gateway's log output: JSON lines on standard output that never block the event loop.

Owns the output's limits and its write buffer. If the log is read too slowly, or flooded with lines,
lines are dropped so that requests are not delayed; dropped lines are counted for the metrics.
"""

import logging
import os
import sys

import orjson
from eliot import add_destinations

from springbridge_node import clock, logs

# Sustained rate of log lines, per second. Bounds the cost of a flood of failures: all logging takes
# 3% of the processor time of 7 nodes at low load and 5% at high load.
LINES_PER_S = 200.0
# Most log lines in a burst after a quiet period (token bucket). Two seconds of LINES_PER_S, so that
# the first lines of an incident are kept.
LINES_BURST = 400.0
# Bytes that may be buffered for the log's reader before further lines are dropped. Small compared
# with a node's 23 MB of memory.
UNWRITTEN_BYTES = 256 << 10
# Fields that eliot adds to each message and that are not used in these logs.
TASK_FIELDS = frozenset({"task_uuid", "task_level"})


class _BoundedOutput:
    """A non-blocking file descriptor; lines above the rate or for a full buffer are dropped.

    Attributes:
      dropped: Number of lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._allowed = LINES_BURST
        self._filled_s = clock.now_s()
        self._unwritten = b""
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write or buffer a line, or count it as dropped."""
        now_s = clock.now_s()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._allowed = min(LINES_BURST, self._allowed + gained)
        self._filled_s = now_s
        if len(self._unwritten) > UNWRITTEN_BYTES:
            # Nothing else empties the buffer, and the reader may have caught up meanwhile.
            self.flush()
        if self._allowed < 1 or len(self._unwritten) > UNWRITTEN_BYTES:
            self.dropped += 1
            return
        self._allowed -= 1
        self._unwritten += line.encode()
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the pipe takes; the rest is written with a later line."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            # The pipe is full; the lines stay buffered, and write() bounds the buffer.
            return
        except OSError:
            # The reader of the log is gone; the buffered lines are counted as dropped.
            written = len(self._unwritten)
            self.dropped += self._unwritten.count(b"\n")
        self._unwritten = self._unwritten[written:]


_output: _BoundedOutput | None = None


def start(instance: str) -> None:
    """Send all events to standard output as JSON lines, without blocking on its reader."""
    global _output
    os.set_blocking(sys.stdout.fileno(), False)
    _output = _BoundedOutput(sys.stdout.fileno())
    add_destinations(_write_line)
    logging.basicConfig(handlers=[logs.LibraryHandler()], level=logging.WARNING, force=True)
    logs.event("node.start", instance=instance, counts_suspension=clock.COUNTS_SUSPENSION)


def _write_line(message: dict) -> None:
    """Write one message of eliot as a line of JSON."""
    fields = {name: value for name, value in message.items() if name not in TASK_FIELDS}
    _output.write(orjson.dumps(fields, default=str).decode() + "\n")


def dropped() -> int:
    """Return the number of lines dropped since the start."""
    return _output.dropped if _output is not None else 0
