"""Settings of the gateway, validated before anything starts."""

from dataclasses import dataclass

from springbridge.instance_limits import InstanceLimits
from springbridge.routing.shared_retry_budget import RetryBudgetLimits


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses on which a node listens, each IP:port; an empty one is not served.

    Attributes:
      callers: For callers' requests.
      ready: For the platform's readiness check.
      directory: For callers that look up the nodes to use.
      peers: For peers that fetch the configuration or the endpoint list.
      metrics: For scrapes of the metrics.
    """

    callers: str
    ready: str
    directory: str
    peers: str
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class DutySettings:
    """The duties that one node at a time performs for the whole fleet.

    Attributes:
      reports_usage: Whether usage is reported to the platform.
      orders_endpoints: Whether endpoints are ordered from the platform.
      window_s: Length of a usage window, in seconds.
      no_return_s: Seconds within which a duty must not return to a node after another node had it.
    """

    reports_usage: bool = False
    orders_endpoints: bool = False
    window_s: float = 5.0
    no_return_s: float = 3.0

    @property
    def has_any(self) -> bool:
        """Return whether any duty is enabled."""
        return self.reports_usage or self.orders_endpoints


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of a node.

    Attributes:
      gossip_port: Port for datagrams between nodes, the same on all of them.
      seeds: Peer addresses to contact first. They may be stale, and may include this node's own.
      budget: Retry budget of all nodes together.
      grace_s: Time between the signal of a planned stop and the kill, in seconds.
      longest_ttl_s: Longest time for which callers may cache a directory answer, in seconds.
      drain_s: Time within which a leaving endpoint must stop receiving requests, in seconds.
      first_start: Whether the whole fleet is starting for the first time.
      duties: Duties that one node performs for the whole fleet.
      limits: Memory and descriptors of the machine.
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
    limits: InstanceLimits = InstanceLimits()

    def __post_init__(self) -> None:
        """Validate the values.

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
        for name in ("memory_mb", "max_descriptors"):
            if getattr(self.limits, name) <= 0:
                raise ValueError(f"limits.{name}: must be above 0")
        for name in ("window_s", "no_return_s"):
            if getattr(self.duties, name) <= 0:
                raise ValueError(f"duties.{name}: must be above 0")

    @property
    def other_seeds(self) -> tuple[str, ...]:
        """Return the seeds other than this node."""
        return tuple(seed for seed in self.seeds if seed != self.addresses.peers)

    @property
    def asks_seeds_first(self) -> bool:
        """Return whether this node asks its seeds before the store when it starts.

        When a whole fleet starts, the seeds read the store and the other nodes wait for them.
        """
        return self.first_start and self.addresses.peers not in self.seeds


def _check_address(name: str, address: str) -> None:
    """Raise ValueError unless an address has the form IP:port."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"addresses.{name}: {address!r} is not an IP number and a port")
