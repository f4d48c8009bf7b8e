"""Settings of a node that routes by host and path, checked before anything starts."""

from dataclasses import dataclass

from springbridge.routing.shared_retry_budget import BudgetTerms


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where a node listens, each an IP number and port; an empty one is not served.

    Attributes:
      callers: For callers' requests.
      ready: For the question whether the node is ready.
      directory: For callers that ask which nodes to use.
      peers: For peers' questions.
      metrics: For the metrics.
    """

    callers: str
    ready: str
    directory: str
    peers: str
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of a node.

    Attributes:
      gossip_port: Port of the digests, alike on all nodes.
      seeds: Peer addresses to begin with, this node's own perhaps among them; they may be stale.
      first_start: Whether the whole system starts for the first time, so that nobody waits for it.
      budget: What all nodes together may send to second endpoints.
      grace_s: Time between a planned stop and its end.
      longest_ttl_s: Longest time for which callers keep an answer of the directory.
      drain_s: Time within which no request may reach an endpoint that leaves.
    """

    name: str
    ip: str
    failure_domain: str
    addresses: Addresses
    gossip_port: int
    seeds: tuple[str, ...]
    budget: BudgetTerms = BudgetTerms()
    grace_s: float = 8.0
    longest_ttl_s: float = 5.0
    drain_s: float = 2.0
    first_start: bool = False

    def __post_init__(self) -> None:
        """Check the values.

        Raises:
          ValueError: One is missing or out of range; the message names it.
        """
        for name in ("callers", "ready", "peers"):
            _check_address(name, getattr(self.addresses, name))
        if not 0 < self.gossip_port < 65536:
            raise ValueError(f"gossip_port: {self.gossip_port} is no port")
        for name in ("grace_s", "longest_ttl_s", "drain_s"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")

    @property
    def other_seeds(self) -> tuple[str, ...]:
        """Return the seeds that are not this node."""
        return tuple(seed for seed in self.seeds if seed != self.addresses.peers)

    @property
    def asks_seeds_first(self) -> bool:
        """Return whether this node leaves the store to its seeds for a moment at its start."""
        return self.first_start and self.addresses.peers not in self.seeds


def _check_address(name: str, address: str) -> None:
    """Check that an address is an IP number and a port."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"addresses.{name}: {address!r} is no IP number and port")
