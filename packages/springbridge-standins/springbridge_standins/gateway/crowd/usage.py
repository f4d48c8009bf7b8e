"""What a process uses: resident memory, bytes that wait unread in the kernel, open descriptors."""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

MB = 1 << 20
KIB = 1 << 10
# Seconds between two samples.
SAMPLE_S = 0.05
# Columns of /proc/net/tcp: the local address, and the bytes that wait to be sent and to be read.
LOCAL_COLUMN, QUEUES_COLUMN = 1, 4


@dataclass
class Peaks:
    """The most that samples of a process showed.

    Attributes:
      memory_mb: Resident memory and bytes that waited unread in the kernel, together.
      descriptors: Open descriptors.
    """

    memory_mb: float = 0.0
    descriptors: int = 0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return _status_mb(pid, "VmRSS")


def most_resident_mb(pid: int) -> float:
    """Return the most resident memory that a process has had since its start, in MB."""
    return _status_mb(pid, "VmHWM")


def descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def unread_mb(ip: str) -> float:
    """Return how much waits unread in the connections of a local IP number, in MB."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    waiting = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if columns[LOCAL_COLUMN].startswith(local):
            waiting += int(columns[QUEUES_COLUMN].partition(":")[2], 16)
    return waiting / MB


@contextlib.asynccontextmanager
async def sampled(pid: int, ip: str) -> AsyncIterator[Peaks]:
    """Sample a process, whose connections are those of an IP number, during the block."""
    peaks = Peaks()
    sampling = asyncio.ensure_future(_sample(pid, ip, peaks))
    try:
        yield peaks
    finally:
        sampling.cancel()
        with contextlib.suppress(FileNotFoundError):
            peaks.memory_mb = max(peaks.memory_mb, most_resident_mb(pid))


async def _sample(pid: int, ip: str, peaks: Peaks) -> None:
    """Take samples until cancelled or the process has ended."""
    # A process that ends meanwhile has no samples any more; the test finds its end.
    with contextlib.suppress(OSError, IndexError):
        while True:
            peaks.memory_mb = max(peaks.memory_mb, resident_mb(pid) + unread_mb(ip))
            peaks.descriptors = max(peaks.descriptors, descriptors(pid))
            await asyncio.sleep(SAMPLE_S)


def _status_mb(pid: int, name: str) -> float:
    """Return a size of /proc/PID/status in MB.

    Raises:
      FileNotFoundError, IndexError: The process has ended.
    """
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    found = [line for line in lines if line.startswith(f"{name}:")]
    return int(found[0].split()[1]) * KIB / MB
