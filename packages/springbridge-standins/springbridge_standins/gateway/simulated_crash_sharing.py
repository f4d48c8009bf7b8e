"""Simulates how fast crash reports spread in a fleet, and in how many bytes.

Membership, gossip and crash sharing are real; the clock and the datagrams are those of
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
# Time for the nodes to discover each other before the first crash.
SETTLING_S = 4.0
# Time after which a simulation stops waiting for nodes that do not know of a crash.
MAX_WAIT_S = 10.0


@dataclass
class CrashNode:
    """A node's crash records, quarantine and crash sharing."""

    records: CrashRecords
    quarantine: Quarantine
    sharing: CrashSharing

    def knows(self, fingerprint: str) -> bool:
        """Return whether this node suspects or quarantines a request."""
        return self.quarantine.verdict(fingerprint).standing is not Standing.FREE


class CrashSharingFleet:
    """A simulated fleet in which a random node detects each crash and shares it."""

    def __init__(self, clock: SimulatedClock, size: int, seed: int, loss: float = 0.0) -> None:
        """Start the fleet and let its nodes discover each other; loss is a share of datagrams."""
        self.fleet = SimulatedFleet(clock, size, seed, loss)
        self._clock = clock
        self._rng = random.Random(seed)
        self.fleet.run(SETTLING_S)
        self.nodes = {number: self.join(number) for number in self.fleet.nodes}

    def join(self, number: int) -> CrashNode:
        """Add crash sharing to a running node, with empty records."""
        node = self.fleet.nodes[number]
        records = CrashRecords(self._clock)
        coordinators = TrialCoordinators(node.membership)
        sharing = CrashSharing(records, node.membership, coordinators, lambda _, work: work())
        sharing.connect(node.datagrams)
        return CrashNode(records, Quarantine(records), sharing)

    def crash(self, fingerprint: str, crash: int, on_trial: bool = False) -> None:
        """Record the crash of an endpoint at a random node, and share it."""
        node = self.nodes[self._rng.choice(list(self.nodes))]
        node.records.record_crash(fingerprint, crash, on_trial)
        node.sharing.share(fingerprint, SERVICE)

    def run(self, seconds: float) -> None:
        """Advance the time, with one step of crash sharing per node and heartbeat interval."""
        for _ in range(round(seconds / HEARTBEAT_INTERVAL_S)):
            self.fleet.run(HEARTBEAT_INTERVAL_S)
            for node in self.nodes.values():
                asyncio.run(node.sharing.beat())

    def seconds_to_know(self, fingerprint: str) -> float:
        """Return the seconds until all nodes hold a request back, at most MAX_WAIT_S."""
        begun_s = self._clock.now_s
        while not self.all_know(fingerprint) and self._clock.now_s < begun_s + MAX_WAIT_S:
            self.run(HEARTBEAT_INTERVAL_S)
        return self._clock.now_s - begun_s

    def all_know(self, fingerprint: str) -> bool:
        """Return whether all nodes hold a request back."""
        return all(node.knows(fingerprint) for node in self.nodes.values())
