"""How soon a simulated fleet knows of a request that ends endpoints, and in how many bytes.

Membership, gossip and the sharing of crashes are real; the clock and the datagrams are those of
simulated_fleet.py.
"""

import asyncio
import random
from dataclasses import dataclass

from springbridge.crash_records import CrashRecords
from springbridge.quarantine import Quarantine, Standing
from springbridge_node.gateway.peers.crash_sharing import CrashSharing
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators

from springbridge_standins.gateway.simulated_fleet import SimulatedClock, SimulatedFleet

SERVICE = "model"
# Seconds in which the fleet finds itself before a crash.
SETTLES_S = 4.0
# Seconds after which nodes that do not know yet are not waited for.
LONGEST_S = 10.0


@dataclass
class CrashNode:
    """What a node knows of crashes."""

    records: CrashRecords
    quarantine: Quarantine
    sharing: CrashSharing

    def knows(self, fingerprint: str) -> bool:
        """Return whether a request is held back here."""
        return self.quarantine.verdict(fingerprint).standing is not Standing.FREE


class CrashNews:
    """A fleet in which each crash is seen by another node."""

    def __init__(self, clock: SimulatedClock, size: int, seed: int, loss: float = 0.0) -> None:
        """Start the fleet and let it settle."""
        self.fleet = SimulatedFleet(clock, size, seed, loss)
        self._clock = clock
        self._rng = random.Random(seed)
        self.fleet.run(SETTLES_S)
        self.nodes = {number: self.join(number) for number in self.fleet.nodes}

    def join(self, number: int) -> CrashNode:
        """Let a running node share crashes."""
        node = self.fleet.nodes[number]
        records = CrashRecords(self._clock)
        coordinators = TrialCoordinators(node.membership)
        sharing = CrashSharing(records, node.membership, coordinators, lambda _, work: work())
        sharing.connect(node.datagrams)
        return CrashNode(records, Quarantine(records), sharing)

    def crash(self, fingerprint: str, crash: int, on_trial: bool = False) -> None:
        """Let a node that is drawn see the end of an endpoint."""
        node = self.nodes[self._rng.choice(list(self.nodes))]
        node.records.record_crash(fingerprint, crash, on_trial)
        node.sharing.share(fingerprint, SERVICE)

    def run(self, seconds: float) -> None:
        """Let time pass in steps of one beat of all nodes."""
        for _ in range(round(seconds / HEARTBEAT_INTERVAL_S)):
            self.fleet.run(HEARTBEAT_INTERVAL_S)
            for node in self.nodes.values():
                asyncio.run(node.sharing.beat())

    def seconds_to_know(self, fingerprint: str) -> float:
        """Return after how many seconds all nodes hold a request back."""
        begun_s = self._clock.now_s
        while not self.all_know(fingerprint) and self._clock.now_s < begun_s + LONGEST_S:
            self.run(HEARTBEAT_INTERVAL_S)
        return self._clock.now_s - begun_s

    def all_know(self, fingerprint: str) -> bool:
        """Return whether all nodes hold a request back."""
        return all(node.knows(fingerprint) for node in self.nodes.values())
