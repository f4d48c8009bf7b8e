"""Processor time and resident memory of processes, read from /proc."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_FIELD = 11
SYSTEM_FIELD = 12


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has spent, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
