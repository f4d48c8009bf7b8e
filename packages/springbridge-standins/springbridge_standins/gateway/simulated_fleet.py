"""Nodes that gossip on a simulated clock: who counts whom as alive, and what it costs.

Only membership and gossip are real; nothing else of a node runs, and nothing stalls. That shows how
soon a node that ended is left out by the rules alone, at sizes for which there are no machines.
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
# Addresses that every node starts from, as the platform's settings give them.
SEEDS = 3
# What every node states; only the length of its numbers matters, as on a running fleet.
CONFIG_VERSION = 650
CONFIRMED_AGO_S = 0.31
ENDPOINT_SNAPSHOT = SnapshotStatus(1_234_567_890_123_456_789, 0.21)
# Seconds after which an ended node that is still named is not waited for any longer.
LONGEST_NAMED_S = 60.0

Handler = Callable[[list, str], None]


class SimulatedClock:
    """A clock that the simulation moves, in seconds."""

    def __init__(self) -> None:
        """Start at a time that is not 0."""
        self.now_s = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


class SimulatedNetwork:
    """Datagrams that reach their receivers at once, or are lost.

    Attributes:
      loss: Share of the datagrams that are lost.
      sent_bytes: Bytes of all datagrams sent, without the headers of UDP and IP.
    """

    def __init__(self, rng: random.Random, loss: float) -> None:
        """Start without a node."""
        self.loss = loss
        self.sent_bytes = 0
        self._rng = rng
        self._handlers: dict[str, dict[Kind, Handler]] = {}

    def join(self, address: str) -> "SimulatedDatagrams":
        """Return the socket of a node, in place of an earlier one at that address."""
        self._handlers[address] = {}
        return SimulatedDatagrams(self, address)

    def leave(self, address: str) -> None:
        """Let nothing reach an address any more."""
        del self._handlers[address]

    def handle(self, address: str, kind: Kind, handler: Handler) -> None:
        """Set who takes the datagrams of a kind at an address."""
        self._handlers[address][kind] = handler

    def deliver(self, kind: Kind, rows: list, sender: str, receivers: list[str]) -> None:
        """Hand rows to the receivers' handlers."""
        data = orjson.dumps([int(kind), rows])
        for address in receivers:
            self.sent_bytes += len(data)
            is_lost = self._rng.random() < self.loss
            if address in self._handlers and not is_lost:
                self._handlers[address][kind](orjson.loads(data)[1], sender)


class SimulatedDatagrams:
    """One node's socket on a simulated network, as gossip uses it."""

    def __init__(self, network: SimulatedNetwork, address: str) -> None:
        """Keep the network and the node's address."""
        self._network = network
        self._address = address
        self._membership: Membership | None = None
        self._rng: random.Random | None = None

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Set who takes the rows of a kind."""
        self._network.handle(self._address, kind, handler)

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows to peers."""
        self._network.deliver(kind, rows, self._address, peer_addresses)

    def connect_peers(self, membership: Membership, rng: random.Random) -> None:
        """Set whom sample_peers() draws from."""
        self._membership, self._rng = membership, rng

    def sample_peers(self, limit: int) -> list[str]:
        """Return the addresses of the peers that run, a random sample where there are more."""
        peers = [member.peer_address for member in self._membership.reachable()]
        return peers if len(peers) <= limit else self._rng.sample(peers, limit)


@dataclass
class SimulatedNode:
    """One running node."""

    membership: Membership
    gossip: Gossip
    datagrams: SimulatedDatagrams


class SimulatedFleet:
    """Nodes that beat in turn, each once in HEARTBEAT_INTERVAL_S.

    Attributes:
      nodes: The running nodes by their number.
      processor_s: Processor time of all nodes together on this machine, in seconds.
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
        """Return a new node at the address of its number."""
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
        """Let time pass in steps of one node's turn."""
        for _ in range(round(seconds / HEARTBEAT_INTERVAL_S)):
            start_s = process_time()
            for number in range(self.size):
                self._clock.now_s += HEARTBEAT_INTERVAL_S / self.size
                if number in self.nodes:
                    _beat(self.nodes[number])
            self.processor_s += process_time() - start_s

    def power_off(self, number: int) -> None:
        """End a node without a word."""
        del self.nodes[number]
        self.network.leave(_peer_address(number))

    def restart(self, number: int) -> None:
        """End a node without a word, and start it anew at the same address."""
        self.nodes[number] = self._start(number)

    def seconds_named(self, number: int) -> float:
        """End a node, and return for how long a caller may still be sent there."""
        self.power_off(number)
        off_s = self._clock.now_s
        while self._names(number) and self._clock.now_s < off_s + LONGEST_NAMED_S:
            self.run(HEARTBEAT_INTERVAL_S)
        return self._clock.now_s - off_s

    def _names(self, number: int) -> bool:
        """Return whether a node still counts the node of a number as live.

        The directory answers from the live members.
        """
        address = _caller_address(number)
        return any(
            member.caller_address == address
            for node in self.nodes.values()
            for member in node.membership.live()
        )

    def share_left_out(self) -> float:
        """Return the share of pairs of running nodes of which one does not count the other."""
        counted = Counter(
            incarnation
            for node in self.nodes.values()
            for incarnation in node.membership.incarnations()
        )
        running = [node.membership.me.incarnation for node in self.nodes.values()]
        return 1 - sum(counted[incarnation] for incarnation in running) / len(running) ** 2

    def share_taken_for_silent(self) -> float:
        """Return the share of pairs of running nodes of which one knows the other as silent."""
        running = {node.membership.me.incarnation for node in self.nodes.values()}
        silent = 0
        for node in self.nodes.values():
            left_out = running - set(node.membership.incarnations())
            silent += sum(node.membership.find(each) is not None for each in left_out)
        return silent / len(running) ** 2


def _beat(node: SimulatedNode) -> None:
    """Send a node's heartbeat, as a ready node does."""
    node.membership.beat(CONFIG_VERSION, CONFIRMED_AGO_S, False, ENDPOINT_SNAPSHOT)
    node.gossip.send(node.membership.gossip_targets())


def _peer_address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}:1"


def _caller_address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}:2"


@contextmanager
def simulated_time() -> Iterator[SimulatedClock]:
    """Let gossip go by a simulated clock meanwhile."""
    simulated = SimulatedClock()
    with mock.patch.object(clock, "_read", simulated):
        yield simulated
