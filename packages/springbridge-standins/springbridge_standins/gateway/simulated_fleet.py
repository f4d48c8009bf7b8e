"""Simulates gossip between nodes in virtual time: which nodes count as live, and at what cost.

Only membership and gossip are real; nothing else of a node runs, and nothing stalls. This shows how
soon the rules alone remove a node that has died, at sizes for which there are no machines.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from time import process_time
from unittest import mock

import orjson
from springbridge.membership import Membership, SnapshotStatus
from springbridge_node import clock
from springbridge_node.gateway.peers.datagrams import Kind
from springbridge_node.gateway.peers.gossip import Gossip
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S
from springbridge_node.gateway.peers.own_member import PACE, new_member

FAILURE_DOMAINS = ("a", "b", "c", "d", "e")
# Number of seed addresses that every node knows at its start, as from the platform's settings.
SEEDS = 3
# State in every heartbeat; only the length of the numbers matters (as in a running fleet).
CONFIG_VERSION = 650
CONFIRMED_AGO_S = 0.31
ENDPOINT_SNAPSHOT = SnapshotStatus(1_234_567_890_123_456_789, 0.21)
# Time after which a simulation stops waiting for the removal of a dead node.
MAX_REMOVAL_S = 60.0

Handler = Callable[[list, str], None]


class SimulatedClock:
    """A clock in seconds that the simulation advances."""

    def __init__(self) -> None:
        """Start at a time that is not 0."""
        self.now_s = 100.0

    def __call__(self) -> float:
        """Return the simulated time in seconds."""
        return self.now_s


class SimulatedNetwork:
    """A network that delivers datagrams at once or loses them.

    Attributes:
      loss: Share of the datagrams that are lost.
      sent_bytes: Bytes of all datagrams sent, without the headers of UDP and IP.
    """

    def __init__(self, rng: random.Random, loss: float) -> None:
        """Start without nodes."""
        self.loss = loss
        self.sent_bytes = 0
        self._rng = rng
        self._handlers: dict[str, dict[Kind, Handler]] = {}

    def join(self, address: str) -> "SimulatedDatagrams":
        """Return a new socket for an address; it replaces an earlier one there."""
        self._handlers[address] = {}
        return SimulatedDatagrams(self, address)

    def leave(self, address: str) -> None:
        """Stop the delivery to an address."""
        del self._handlers[address]

    def handle(self, address: str, kind: Kind, handler: Handler) -> None:
        """Set the handler for datagrams of a kind at an address."""
        self._handlers[address][kind] = handler

    def deliver(self, kind: Kind, rows: list, sender: str, receivers: list[str]) -> None:
        """Pass rows to the handler of each receiver, unless the datagram to it is lost."""
        data = orjson.dumps([int(kind), rows])
        for address in receivers:
            self.sent_bytes += len(data)
            is_lost = self._rng.random() < self.loss
            if address in self._handlers and not is_lost:
                self._handlers[address][kind](orjson.loads(data)[1], sender)


class SimulatedDatagrams:
    """One node's socket on a simulated network, as gossip uses it."""

    def __init__(self, network: SimulatedNetwork, address: str) -> None:
        """Open a socket at an address of the network."""
        self._network = network
        self._address = address
        self._membership: Membership | None = None
        self._rng: random.Random | None = None

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Set the handler for datagrams of a kind."""
        self._network.handle(self._address, kind, handler)

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows to peers."""
        self._network.deliver(kind, rows, self._address, peer_addresses)

    def connect_peers(self, membership: Membership, rng: random.Random) -> None:
        """Set the membership that sample_peers() draws from."""
        self._membership, self._rng = membership, rng

    def sample_peers(self, limit: int) -> list[str]:
        """Return the addresses of the reachable peers, a random sample if they exceed the limit."""
        peers = [member.peer_address for member in self._membership.reachable()]
        return peers if len(peers) <= limit else self._rng.sample(peers, limit)


@dataclass
class SimulatedNode:
    """The simulated parts of a running node."""

    membership: Membership
    gossip: Gossip
    datagrams: SimulatedDatagrams


class SimulatedFleet:
    """Nodes that send heartbeats in turn, each once per HEARTBEAT_INTERVAL_S.

    Attributes:
      nodes: The running nodes by their number.
      processor_s: CPU seconds used by all nodes together.
    """

    def __init__(self, clock: SimulatedClock, size: int, seed: int, loss: float = 0.0) -> None:
        """Start all nodes; they know only the seeds."""
        self._clock = clock
        self._rng = random.Random(seed)
        self._started = 0
        self.size = size
        self.network = SimulatedNetwork(random.Random(seed + 1), loss)
        self.processor_s = 0.0
        self.nodes = {number: self._start(number) for number in range(size)}

    def _start(self, number: int) -> SimulatedNode:
        """Return a new node with a new incarnation at the address of its number."""
        self._started += 1
        address = _peer_address(number)
        failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        me = new_member(f"n{number}", address, _caller_address(number), failure_domain)
        me = replace(me, incarnation=f"{self._started:010x}")
        membership = Membership(me, self._clock, random.Random(self._rng.random()), PACE)
        membership.set_listed(_peer_address(seed) for seed in range(SEEDS))
        datagrams = self.network.join(address)
        datagrams.connect_peers(membership, self._rng)
        gossip = Gossip(membership, datagrams, lambda: None)
        return SimulatedNode(membership, gossip, datagrams)

    def run(self, seconds: float) -> None:
        """Advance the time; each node sends one heartbeat per HEARTBEAT_INTERVAL_S."""
        for _ in range(round(seconds / HEARTBEAT_INTERVAL_S)):
            start_s = process_time()
            for number in range(self.size):
                self._clock.now_s += HEARTBEAT_INTERVAL_S / self.size
                if number in self.nodes:
                    _send_heartbeat(self.nodes[number])
            self.processor_s += process_time() - start_s

    def power_off(self, number: int) -> None:
        """Stop a node without notice to its peers."""
        del self.nodes[number]
        self.network.leave(_peer_address(number))

    def restart(self, number: int) -> None:
        """Stop a node without notice, and start a new incarnation at the same address."""
        self.nodes[number] = self._start(number)

    def removal_delay_s(self, number: int) -> float:
        """Stop a node, and return for how many seconds callers may still be directed to it."""
        self.power_off(number)
        off_s = self._clock.now_s
        while self._is_named(number) and self._clock.now_s < off_s + MAX_REMOVAL_S:
            self.run(HEARTBEAT_INTERVAL_S)
        return self._clock.now_s - off_s

    def _is_named(self, number: int) -> bool:
        """Return whether any node still counts a node as live.

        The directory gives callers the addresses of live members.
        """
        address = _caller_address(number)
        return any(
            member.caller_address == address
            for node in self.nodes.values()
            for member in node.membership.live()
        )

    def missing_share(self) -> float:
        """Return the share of pairs of running nodes of which one omits the other."""
        counted = Counter(
            incarnation
            for node in self.nodes.values()
            for incarnation in node.membership.incarnations()
        )
        running = [node.membership.me.incarnation for node in self.nodes.values()]
        return 1 - sum(counted[incarnation] for incarnation in running) / len(running) ** 2

    def false_silence_share(self) -> float:
        """Return the share of pairs of running nodes of which one takes the other for silent."""
        running = {node.membership.me.incarnation for node in self.nodes.values()}
        silent = 0
        for node in self.nodes.values():
            left_out = running - set(node.membership.incarnations())
            silent += sum(node.membership.find(each) is not None for each in left_out)
        return silent / len(running) ** 2


def _send_heartbeat(node: SimulatedNode) -> None:
    """Advance a node's heartbeat and gossip it, as a ready node does."""
    node.membership.beat(CONFIG_VERSION, CONFIRMED_AGO_S, False, ENDPOINT_SNAPSHOT)
    node.gossip.send(node.membership.gossip_targets())


def _peer_address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}:1"


def _caller_address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}:2"


@contextmanager
def simulated_time() -> Iterator[SimulatedClock]:
    """Replace the clock of the nodes by a simulated one within the block."""
    simulated = SimulatedClock()
    with mock.patch.object(clock, "_read", simulated):
        yield simulated
