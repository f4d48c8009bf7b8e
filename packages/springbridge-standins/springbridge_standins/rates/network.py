"""Simulated datagrams between instances, with delays, losses and partitions."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
from springbridge_node.gateway.peers.datagrams import Kind

# Shortest delay of a datagram and the most added at random; one in SLOW_ONE_IN takes up to
# MAX_SLOW_S more.
MIN_DELAY_S, MAX_EXTRA_DELAY_S = 0.0005, 0.003
SLOW_ONE_IN, MAX_SLOW_S = 50, 0.08
# UDP and IP headers.
HEADER_BYTES = 28

Handler = Callable[[list, str], None]


@dataclass
class SimulatedNetwork:
    """The network between the addresses of instances.

    Attributes:
      loss: Share of the datagrams that are lost.
      sides: Side of the partition that an address is on; different sides cannot reach each other.
      frozen_until_s: When a frozen address resumes and receives its datagrams.
      sent_bytes: Bytes that each address sent, headers included.
    """

    rng: random.Random
    loss: float = 0.0
    sides: dict[str, int] = field(default_factory=dict)
    frozen_until_s: dict[str, float] = field(default_factory=dict)
    sent_bytes: Counter = field(default_factory=Counter)
    _handlers: dict[str, dict[Kind, Handler]] = field(default_factory=dict)

    def join(self, address: str) -> "SimulatedDatagrams":
        """Return a new socket for an address; it replaces an earlier one there."""
        self._handlers[address] = {}
        return SimulatedDatagrams(self, address)

    def leave(self, address: str) -> None:
        """Stop the delivery to an address."""
        self._handlers.pop(address, None)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether two addresses are on the same side of a partition."""
        return self.sides.get(one, 0) == self.sides.get(other, 0)

    def handle(self, address: str, kind: Kind, handler: Handler) -> None:
        """Set the handler for datagrams of a kind at an address."""
        self._handlers[address][kind] = handler

    def send(self, kind: Kind, rows: list, sender: str, receivers: list[str]) -> None:
        """Send rows to each receiver, each with its own delay and chance of loss."""
        data = orjson.dumps([int(kind), rows])
        loop = asyncio.get_running_loop()
        for receiver in receivers:
            self.sent_bytes[sender] += len(data) + HEADER_BYTES
            if self.rng.random() >= self.loss and self.reaches(sender, receiver):
                loop.call_later(self._delay_s(), self._deliver, kind, data, sender, receiver)

    def _delay_s(self) -> float:
        delay_s = MIN_DELAY_S + self.rng.random() * MAX_EXTRA_DELAY_S
        if self.rng.randrange(SLOW_ONE_IN) == 0:
            delay_s += self.rng.random() * MAX_SLOW_S
        return delay_s

    def _deliver(self, kind: Kind, data: bytes, sender: str, receiver: str) -> None:
        """Deliver a datagram; while the receiver is frozen, wait until it resumes."""
        loop = asyncio.get_running_loop()
        resume_s = self.frozen_until_s.get(receiver, 0.0)
        if loop.time() < resume_s:
            loop.call_at(resume_s + 0.001, self._deliver, kind, data, sender, receiver)
            return
        handler = self._handlers.get(receiver, {}).get(kind)
        if handler is not None:
            handler(orjson.loads(data)[1], sender)


class SimulatedDatagrams:
    """One instance's socket, as used by rate limiting and statement sharing.

    Attributes:
      peers: Returns the addresses of the live peers.
    """

    def __init__(self, network: SimulatedNetwork, address: str) -> None:
        """Open a socket at an address of the network."""
        self._network = network
        self._address = address
        self.peers: Callable[[], list[str]] = list

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Set the handler for datagrams of a kind."""
        self._network.handle(self._address, kind, handler)

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows to peers."""
        self._network.send(kind, rows, self._address, peer_addresses)

    def sample_peers(self, limit: int) -> list[str]:
        """Return the addresses of the live peers, a random sample if they exceed the limit."""
        peers = self.peers()
        return peers if len(peers) <= limit else self._network.rng.sample(peers, limit)
