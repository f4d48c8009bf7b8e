"""Settings of the gateway, checked before anything starts."""

from dataclasses import dataclass

from springbridge.routing.shared_retry_budget import RetryBudgetLimits


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where a node listens, each an IP number and port; an empty one is not served.

    Attributes:
      callers: Callers' requests.
      ready: The platform's readiness check.
      directory: Callers that ask which nodes to use.
      peers: Peers that fetch a configuration or an endpoint list.
      metrics: The metrics.
    """

    callers: str
    ready: str
    directory: str
    peers: str
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Which duties of the whole fleet its nodes do, one node at a time.

    Attributes:
      reports_usage: Whether usage is reported.
      orders_endpoints: Whether endpoints are ordered.
      window_s: Length of a window of usage, in seconds.
      no_return_s: Seconds within which a node must not get a duty back that another one had.
    """

    reports_usage: bool = False
    orders_endpoints: bool = False
    window_s: float = 5.0
    no_return_s: float = 3.0

    @property
    def has_any(self) -> bool:
        """Return whether there is any duty."""
        return self.reports_usage or self.orders_endpoints


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of a node.

    Attributes:
      gossip_port: Port for datagrams between nodes, the same on all of them.
      seeds: Peer addresses to start with. They may be stale, and this node's own may be among them.
      budget: How many retries all nodes together may make.
      grace_s: Time between the signal of a planned stop and the kill, in seconds.
      longest_ttl_s: Longest time for which callers may keep an answer of the directory, in seconds.
      drain_s: Time within which requests must stop reaching an endpoint that leaves, in seconds.
      first_start: Whether the whole fleet starts now, for the first time.
      duties: What one node does for the whole fleet.
    """

    name: str
    ip: str
    failure_domain: str
    addresses: Addresses
    gossip_port: int
    seeds: tuple[str, ...]
    budget: RetryBudgetLimits = RetryBudgetLimits()
    grace_s: float = 8.0
    longest_ttl_s: float = 5.0
    drain_s: float = 2.0
    first_start: bool = False
    duties: DutySettings = DutySettings()

    def __post_init__(self) -> None:
        """Check the values.

        Raises:
          ValueError: A value is missing or out of range; the message names it.
        """
        for name in ("callers", "ready", "peers"):
            _check_address(name, getattr(self.addresses, name))
        if not 0 < self.gossip_port < 65536:
            raise ValueError(f"gossip_port: {self.gossip_port} is not a port")
        for name in ("grace_s", "longest_ttl_s", "drain_s"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")
        for name in ("window_s", "no_return_s"):
            if getattr(self.duties, name) <= 0:
                raise ValueError(f"duties.{name}: must be above 0")

    @property
    def other_seeds(self) -> tuple[str, ...]:
        """Return the seeds that are not this node."""
        return tuple(seed for seed in self.seeds if seed != self.addresses.peers)

    @property
    def asks_seeds_first(self) -> bool:
        """Return whether this node asks its seeds before the store when it starts.

        When a whole fleet starts, the seeds read the store and the others wait for them.
        """
        return self.first_start and self.addresses.peers not in self.seeds


def _check_address(name: str, address: str) -> None:
    """Check that an address is an IP number and a port."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"addresses.{name}: {address!r} is not an IP number and a port")
