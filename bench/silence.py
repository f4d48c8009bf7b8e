"""Measures for how long a node that ended is still named, by the size of the fleet.

    python bench/silence.py [--seeds K] [--settle-s S] [SIZE ...]

Prints a row for each size and condition: seconds until no running node counts the ended one (least
and most over the seeds), the share of running pairs of which one does not count the other, the part
of it in which it wrongly takes it for silent (in the rest it does not know it yet), and bytes and
processor time of membership for each node. The fleets are simulated
(springbridge_standins.gateway.simulated_fleet): real membership and gossip, one clock, no stalls.
Bytes are those that a node sends, without the headers of UDP and IP.
"""

from collections.abc import Callable
from dataclasses import dataclass

import typer
from springbridge_node.gateway.peers.heartbeats import HEARTBEAT_INTERVAL_S
from springbridge_standins.gateway.simulated_fleet import SimulatedFleet, simulated_time

SIZES = [9, 30, 78, 380]
# Seconds in which a fleet of up to 78 nodes finds itself; 380 nodes have not within that time.
SETTLE_S = 15.0
# Seconds for which a fleet is watched before a node ends.
WATCHED_S = 5.0
# Share of the datagrams that a bad network loses.
LOST = 0.1
# Beats between two restarts of a rolling restart.
BEATS_BETWEEN_RESTARTS = 2


def stay_calm(fleet: SimulatedFleet, settle_s: float) -> None:
    """Leave the fleet alone."""


def restart_all(fleet: SimulatedFleet, settle_s: float) -> None:
    """Start every node anew at the same moment, and let them find each other."""
    for number in range(fleet.size):
        fleet.restart(number)
    fleet.run(settle_s)


def restart_in_turn(fleet: SimulatedFleet, settle_s: float) -> None:
    """Start nodes anew one after the other, without the last one, which ends after that."""
    for number in range(
        min(fleet.size - 1, round(WATCHED_S / HEARTBEAT_INTERVAL_S) // BEATS_BETWEEN_RESTARTS)
    ):
        fleet.restart(number)
        fleet.run(BEATS_BETWEEN_RESTARTS * HEARTBEAT_INTERVAL_S)


@dataclass(frozen=True)
class Condition:
    """What a fleet goes through before a node ends.

    Attributes:
      loss: Share of the datagrams that are lost, all the time.
    """

    name: str
    before: Callable[[SimulatedFleet, float], None]
    loss: float = 0.0


CONDITIONS = (
    Condition("calm", stay_calm),
    Condition("all restarted", restart_all),
    Condition("a tenth lost", stay_calm, LOST),
    Condition("rolling restart", restart_in_turn),
)


@dataclass(frozen=True)
class Sample:
    """What one fleet showed.

    Attributes:
      named_s: Seconds for which the ended node was named.
      left_out: Share of running pairs of which one did not count the other, while watched.
      silent: The part of it in which one knew the other and took it for silent.
      bytes_per_s: Sent by each node.
      core: Share of a core for each node, on this machine.
    """

    named_s: float
    left_out: float
    silent: float
    bytes_per_s: float
    core: float


def sample(condition: Condition, size: int, seed: int, settle_s: float) -> Sample:
    """Run one fleet and end its last node."""
    with simulated_time() as clock:
        fleet = SimulatedFleet(clock, size, seed, condition.loss)
        fleet.run(settle_s)
        condition.before(fleet, settle_s)
        bytes_before, processor_before_s = fleet.network.sent_bytes, fleet.processor_s
        shares = []
        silent = []
        for _ in range(round(WATCHED_S / HEARTBEAT_INTERVAL_S)):
            fleet.run(HEARTBEAT_INTERVAL_S)
            shares.append(fleet.missing_share())
            silent.append(fleet.false_silence_share())
        node_seconds = WATCHED_S * size
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
    """Print the table."""
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
