"""Addresses on loopback that are free now, others in each process that asks."""

import itertools
import os
import socket
from collections.abc import Mapping

from springbridge.classes.table.rows import Cells

FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_PROCESS = 200


def _candidate_ports():
    """Yield ports below the range that outgoing connections use, others in each process."""
    blocks = (LAST_PORT - FIRST_PORT) // PORTS_PER_PROCESS
    start = FIRST_PORT + os.getpid() % blocks * PORTS_PER_PROCESS
    yield from itertools.cycle(range(start, start + PORTS_PER_PROCESS))


_ports = _candidate_ports()


def free_port() -> int:
    """Return a port on loopback that is free now and that no world beside this one takes."""
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


def free_address() -> str:
    """Return an address on loopback that is free now."""
    return f"127.0.0.1:{free_port()}"


def with_free_addresses(rows: Mapping[str, Cells]) -> dict[str, Cells]:
    """Return the rows with a free address for each engine."""
    return {
        key: {**cells, "address": free_address()} if key.startswith("engine/") else cells
        for key, cells in rows.items()
    }
