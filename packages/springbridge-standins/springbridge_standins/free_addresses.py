"""Addresses on loopback that are free now, others in each process that asks."""

import contextlib
import itertools
import os
import socket
from collections.abc import Mapping

from springbridge.classes.table.rows import Cells

# Below this lie the ports of common services.
FIRST_PORT = 10_000
# Above this lie the ports that outgoing connections use.
LAST_PORT = 32_000
# Ports that a process tries, so that worlds side by side take others.
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


def free_ports(count: int) -> list[int]:
    """Return ports that are free on all loopback IPs, for connections and for datagrams."""
    with contextlib.ExitStack() as stack:
        found = []
        while len(found) < count:
            sock = stack.enter_context(socket.socket())
            sock.bind(("0.0.0.0", 0))
            port = sock.getsockname()[1]
            datagrams = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            with contextlib.suppress(OSError):
                datagrams.bind(("0.0.0.0", port))
                found.append(port)
    return found


def with_free_addresses(rows: Mapping[str, Cells]) -> dict[str, Cells]:
    """Return the rows with a free address for each engine."""
    return {
        key: {**cells, "address": free_address()} if key.startswith("engine/") else cells
        for key, cells in rows.items()
    }
