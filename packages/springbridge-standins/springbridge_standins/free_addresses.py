"""Picks free loopback addresses such that processes side by side get different ones."""

import contextlib
import itertools
import os
import socket
from collections.abc import Iterator, Mapping

from springbridge.classes.table.rows import Cells

# Lower ports belong to common services.
FIRST_PORT = 10_000
# Higher ports are used for outgoing connections.
LAST_PORT = 32_000
# Size of the block of ports that a process tries; processes side by side have different blocks.
PORTS_PER_PROCESS = 200
# Lowest N of the networks 127.N.0 for the nodes of a run; stand-ins and small fleets use 127.0.0.
FIRST_NETWORK = 2
# Number of such networks.
NETWORKS = 200
# A port that no node listens on; the process that binds it on IP .254 of a network has reserved it.
LOCK_PORT = 9463


def _candidate_ports():
    """Yield the ports of this process's block, again and again."""
    blocks = (LAST_PORT - FIRST_PORT) // PORTS_PER_PROCESS
    start = FIRST_PORT + os.getpid() % blocks * PORTS_PER_PROCESS
    yield from itertools.cycle(range(start, start + PORTS_PER_PROCESS))


_ports = _candidate_ports()


def free_port() -> int:
    """Return a port on 127.0.0.1 that is free now and that processes side by side do not try.

    Raises:
      RuntimeError: No port is free.
    """
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


def free_address() -> str:
    """Return 127.0.0.1 with a port from free_port()."""
    return f"127.0.0.1:{free_port()}"


def free_ports(count: int) -> list[int]:
    """Return distinct ports that are free for TCP and for UDP on all IPs of the machine."""
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


@contextlib.contextmanager
def loopback_network(seed: int) -> Iterator[str]:
    """Reserve the network 127.N.0 of a seed, or the next one that no other run has reserved.

    All nodes of a run use the same ports, each on its own IP, so runs side by side need networks of
    their own, also if their seeds are the same.

    Raises:
      RuntimeError: All networks are reserved.
    """
    for number in range(seed, seed + NETWORKS):
        network = f"127.{FIRST_NETWORK + number % NETWORKS}.0"
        with socket.socket() as lock:
            try:
                lock.bind((f"{network}.254", LOCK_PORT))
            except OSError:
                continue
            yield network
            return
    raise RuntimeError("no loopback network is free")


def with_free_addresses(rows: Mapping[str, Cells]) -> dict[str, Cells]:
    """Return the rows with a free address for each row whose key begins with engine/."""
    return {
        key: {**cells, "address": free_address()} if key.startswith("engine/") else cells
        for key, cells in rows.items()
    }
