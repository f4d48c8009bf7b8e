"""Measures how long a fleet still counts a node that ended as live, by the size of the fleet.

    python bench/silence.py [--seeds K] [--settle-s S] [SIZE ...]

Prints a row for each size and condition: seconds until no running node counts the ended one as
live (minimum and maximum over the seeds), the share of pairs of running nodes of which one does not
count the other, the part of this share in which it wrongly suspects the other (in the rest it does
not know it yet), and the bytes sent and processor time used for membership by each node. The fleets
are simulated (springbridge_standins.gateway.simulated_fleet): real membership and gossip, one
clock, no stalls. Bytes exclude the headers of UDP and IP.
"""

from collections.abc import Callable
from dataclasses import dataclass

import typer
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S
from springbridge_standins.gateway.simulated_fleet import SimulatedFleet, simulated_time

SIZES = [9, 30, 78, 380]
# Seconds in which all nodes of a fleet of up to 78 discover each other; 380 nodes need longer.
SETTLE_S = 15.0
# Seconds for which a fleet is observed before a node ends.
OBSERVED_S = 5.0
# Share of the datagrams that a lossy network drops.
LOSS_SHARE = 0.1
# Heartbeat intervals between two restarts of a rolling restart.
INTERVALS_BETWEEN_RESTARTS = 2


def leave_alone(fleet: SimulatedFleet, settle_s: float) -> None:
    """Do nothing to the fleet."""


def restart_all(fleet: SimulatedFleet, settle_s: float) -> None:
    """Restart all nodes at the same moment, and run the fleet for settle_s."""
    for number in range(fleet.size):
        fleet.restart(number)
    fleet.run(settle_s)


def restart_in_turn(fleet: SimulatedFleet, settle_s: float) -> None:
    """Restart nodes one after another, except the last one, which ends after that."""
    for number in range(
        min(fleet.size - 1, round(OBSERVED_S / HEARTBEAT_INTERVAL_S) // INTERVALS_BETWEEN_RESTARTS)
    ):
        fleet.restart(number)
        fleet.run(INTERVALS_BETWEEN_RESTARTS * HEARTBEAT_INTERVAL_S)


@dataclass(frozen=True)
class Condition:
    """A condition of the fleet when a node ends.

    Attributes:
      before: Called with the fleet and the time to settle, in seconds, before the node ends.
      loss: Share of the datagrams that are lost during the whole run.
    """

    name: str
    before: Callable[[SimulatedFleet, float], None]
    loss: float = 0.0


CONDITIONS = (
    Condition("calm", leave_alone),
    Condition("all restarted", restart_all),
    Condition("a tenth lost", leave_alone, LOSS_SHARE),
    Condition("rolling restart", restart_in_turn),
)


@dataclass(frozen=True)
class Sample:
    """Measurements of one fleet.

    Attributes:
      named_s: Seconds until no running node counted the ended node as live.
      left_out: Mean share of pairs of running nodes of which one did not count the other.
      silent: The part of left_out in which one knew the other and suspected it.
      bytes_per_s: Bytes sent by each node.
      core: Share of a core used by each node, on this machine.
    """

    named_s: float
    left_out: float
    silent: float
    bytes_per_s: float
    core: float


def sample(condition: Condition, size: int, seed: int, settle_s: float) -> Sample:
    """Run one fleet, end its last node, and return the measurements."""
    with simulated_time() as clock:
        fleet = SimulatedFleet(clock, size, seed, condition.loss)
        fleet.run(settle_s)
        condition.before(fleet, settle_s)
        bytes_before, processor_before_s = fleet.network.sent_bytes, fleet.processor_s
        shares = []
        silent = []
        for _ in range(round(OBSERVED_S / HEARTBEAT_INTERVAL_S)):
            fleet.run(HEARTBEAT_INTERVAL_S)
            shares.append(fleet.missing_share())
            silent.append(fleet.false_silence_share())
        node_seconds = OBSERVED_S * size
        return Sample(
            bytes_per_s=(fleet.network.sent_bytes - bytes_before) / node_seconds,
            core=(fleet.processor_s - processor_before_s) / node_seconds,
            left_out=sum(shares) / len(shares),
            silent=sum(silent) / len(silent),
            named_s=fleet.removal_delay_s(size - 1),
        )


def main(
    sizes: list[int] = typer.Argument(None), seeds: int = 3, settle_s: float = SETTLE_S
) -> None:
    """Print the table of all sizes and conditions."""
    print("| nodes | condition | named for, s | left out | silent | B/s a node | core a node |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size in sizes or SIZES:
        for condition in CONDITIONS:
            samples = [sample(condition, size, seed, settle_s) for seed in range(1, seeds + 1)]
            named = [each.named_s for each in samples]
            left_out = sum(each.left_out for each in samples) / seeds
            silent = sum(each.silent for each in samples) / seeds
            bytes_per_s = sum(each.bytes_per_s for each in samples) / seeds
            core = sum(each.core for each in samples) / seeds
            print(
                f"| {size} | {condition.name} | {min(named):.1f} to {max(named):.1f} "
                f"| {left_out:.3%} | {silent:.3%} | {bytes_per_s:,.0f} | {core:.2%} |",
                flush=True,
            )


if __name__ == "__main__":
    typer.run(main)
