"""How much of an instance its clients may take: bytes and connections.

Decided: the bytes that clients may make an instance hold, and the connections that each listener
accepts.
Inputs: the memory and the descriptors of the instance, by its settings.
Outcome: figures that all clients together stay under.
Why: an instance that is out of memory ends, and one without descriptors can neither accept callers
nor connect to endpoints. A bound for each connection does not help, as clients open many.
"""

from dataclasses import dataclass
from enum import Enum

MIB = 1 << 20
# Memory and descriptors of an instance whose settings do not name them.
DEFAULT_MEMORY_MB = 512
DEFAULT_MAX_DESCRIPTORS = 4096
# Share of the memory that is used at most.
USED_MEMORY_SHARE = 0.9
# Memory of an instance without clients: the program, and what it knows of its fleet.
REST_MB = 56
# Least bytes for clients, in which one large body has room however small the instance is.
MIN_REQUEST_MB = 8
# Descriptors for files, at most and as a share of all.
FILE_DESCRIPTORS, FILE_SHARE = 200, 0.2
# Bytes that a connection takes by itself: its objects, and what the kernel holds for it.
CONNECTION_BYTES = 32 << 10
# Share of the bytes that may be connections without content.
CONNECTION_BYTES_SHARE = 0.5


class ListenerKind(Enum):
    """A listener of an instance; the values are logged and counted."""

    CALLERS = "callers"
    DIRECTORY = "directory"
    PEERS = "peers"
    READY = "ready"
    METRICS = "metrics"


# Share of the descriptors for sockets that the connections of a listener take at most. A third is
# left for connections to endpoints, peers and the store.
CONNECTION_SHARES = {
    ListenerKind.CALLERS: 1 / 2,
    ListenerKind.DIRECTORY: 1 / 16,
    ListenerKind.PEERS: 1 / 16,
    ListenerKind.READY: 1 / 48,
    ListenerKind.METRICS: 1 / 48,
}


@dataclass(frozen=True, slots=True)
class InstanceLimits:
    """The limits of the machine on which an instance runs.

    Attributes:
      memory_mb: Memory that the process may use, in MB of 2**20 bytes.
      max_descriptors: Descriptors that it may open.
    """

    memory_mb: int = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS

    def request_bytes(self) -> int:
        """Return how many bytes all clients together may make the instance hold."""
        free_mb = USED_MEMORY_SHARE * self.memory_mb - REST_MB
        return int(max(MIN_REQUEST_MB, free_mb) * MIB)

    def connections(self, kind: ListenerKind) -> int:
        """Return how many connections a listener accepts at a time."""
        files = min(FILE_DESCRIPTORS, FILE_SHARE * self.max_descriptors)
        by_descriptors = (self.max_descriptors - files) * CONNECTION_SHARES[kind]
        by_memory = CONNECTION_BYTES_SHARE * self.request_bytes() / CONNECTION_BYTES
        return max(1, int(min(by_descriptors, by_memory)))
