"""Datagrams between drawn instances, with delays, losses and cuts."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
from springbridge_node.gateway.peers.datagrams import Kind

# Seconds that a datagram takes: the least, and the most of what is drawn on top. One in SLOW_ONES
# takes up to SLOW_S more.
LEAST_S, MOST_S = 0.0005, 0.003
SLOW_ONES, SLOW_S = 50, 0.08
# Headers of UDP and IP, in bytes.
HEADER_BYTES = 28

Handler = Callable[[list, str], None]


@dataclass
class DrawnNetwork:
    """The way between the addresses of instances.

    Attributes:
      sides: On which side of a cut an address is; addresses of different sides reach not.
      frozen_until_s: When a frozen address takes its datagrams.
      sent_bytes: Bytes that each address sent, with the headers.
    """

    rng: random.Random
    loss: float = 0.0
    sides: dict[str, int] = field(default_factory=dict)
    frozen_until_s: dict[str, float] = field(default_factory=dict)
    sent_bytes: Counter = field(default_factory=Counter)
    _handlers: dict[str, dict[Kind, Handler]] = field(default_factory=dict)

    def join(self, address: str) -> "DrawnDatagrams":
        """Return the socket of an instance, in place of an earlier one at its address."""
        self._handlers[address] = {}
        return DrawnDatagrams(self, address)

    def leave(self, address: str) -> None:
        """Let nothing reach an address any more."""
        self._handlers.pop(address, None)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether there is a way between two addresses."""
        return self.sides.get(one, 0) == self.sides.get(other, 0)

    def handle(self, address: str, kind: Kind, handler: Handler) -> None:
        """Set who takes the datagrams of a kind at an address."""
        self._handlers[address][kind] = handler

    def send(self, kind: Kind, rows: list, sender: str, receivers: list[str]) -> None:
        """Send rows; each copy takes its time, and may be lost."""
        data = orjson.dumps([int(kind), rows])
        loop = asyncio.get_running_loop()
        for receiver in receivers:
            self.sent_bytes[sender] += len(data) + HEADER_BYTES
            if self.rng.random() >= self.loss and self.reaches(sender, receiver):
                loop.call_later(self._delay_s(), self._arrive, kind, data, sender, receiver)

    def _delay_s(self) -> float:
        delay_s = LEAST_S + self.rng.random() * MOST_S
        if self.rng.randrange(SLOW_ONES) == 0:
            delay_s += self.rng.random() * SLOW_S
        return delay_s

    def _arrive(self, kind: Kind, data: bytes, sender: str, receiver: str) -> None:
        """Hand a datagram to its receiver, later if that stands still."""
        loop = asyncio.get_running_loop()
        thaw_s = self.frozen_until_s.get(receiver, 0.0)
        if loop.time() < thaw_s:
            loop.call_at(thaw_s + 0.001, self._arrive, kind, data, sender, receiver)
            return
        handler = self._handlers.get(receiver, {}).get(kind)
        if handler is not None:
            handler(orjson.loads(data)[1], sender)


class DrawnDatagrams:
    """One instance's socket, as the parts that keep to rates use it.

    Attributes:
      peers: Returns the addresses of the peers that run.
    """

    def __init__(self, network: DrawnNetwork, address: str) -> None:
        """Keep the network and the address."""
        self._network = network
        self._address = address
        self.peers: Callable[[], list[str]] = list

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Set who takes the rows of a kind."""
        self._network.handle(self._address, kind, handler)

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows to peers."""
        self._network.send(kind, rows, self._address, peer_addresses)

    def sample_peers(self, limit: int) -> list[str]:
        """Return the addresses of the peers that run, a random sample where there are more."""
        peers = self.peers()
        return peers if len(peers) <= limit else self._network.rng.sample(peers, limit)
