"""Instances that are left alone in the soak, while endpoints neither accept nor refuse.

All other nodes are killed or frozen, with what they know of crashes, and the paths of the one that
remains to some or all endpoints hang. It comes in series, and overlaps with the other faults. The
draws come from a generator of their own, so that the other faults of a seed stay as they are.
"""

import asyncio
import contextlib
import random
import signal
from collections.abc import Iterator

from springbridge_standins.gateway.cuts import CutKind
from springbridge_standins.gateway.soak.harms import NODE_START_S, reserved
from springbridge_standins.gateway.soak.nodes import NodeProcess
from springbridge_standins.gateway.soak.paths import cut_paths, some_addresses
from springbridge_standins.gateway.soak.state import Soak

# Longest pause before a node is left alone, and longest time for which it is, in seconds.
MAX_PAUSE_S = 2.0
MAX_ALONE_S = 3.0
# Longest time between the loss of the other nodes and the cut, in seconds. Some heartbeats, so that
# the cut comes before the silence of the others is noticed as well as after it.
MAX_LEAD_S = 1.5
# Share of the times at which the others are killed; else they are frozen.
KILLED_SHARE = 0.4
# Name of the count of these times.
LEFT_ALONE = "harm left_alone"


async def leave_alone_forever(soak: Soak, rng: random.Random) -> None:
    """Leave one node alone before silent endpoints, again and again, until cancelled."""
    while True:
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)
        with _all_but_one(soak, rng) as (alone, others):
            soak.counts[LEFT_ALONE] += 1
            soak.forget_crashes()
            soak.stamp("left alone", node=alone.name)
            await _lose(others, rng.random() < KILLED_SHARE, _hang_paths(soak, rng, alone))
            soak.forget_crashes()


@contextlib.contextmanager
def _all_but_one(soak: Soak, rng: random.Random) -> Iterator[tuple[NodeProcess, list[NodeProcess]]]:
    """Yield a node and all others that no fault affects, which are reserved during the block.

    Nodes that another fault affects are killed, frozen or stopping by themselves.
    """
    free = [node for node in soak.nodes if not node.busy] or soak.nodes
    alone = rng.choice(free)
    others = [node for node in free if node is not alone]
    with contextlib.ExitStack() as stack:
        for node in others:
            stack.enter_context(reserved(soak, node))
        yield alone, others


async def _lose(others: list[NodeProcess], kills: bool, meanwhile) -> None:
    """Kill or freeze nodes, await what is done meanwhile, and bring the nodes back."""
    for node in others:
        node.signal(signal.SIGKILL if kills else signal.SIGSTOP)
    await meanwhile
    if not kills:
        for node in others:
            node.signal(signal.SIGCONT)
        return
    for node in others:
        await node.wait_exit()
        await node.start()
    await asyncio.gather(*(node.wait_started(NODE_START_S) for node in others))


async def _hang_paths(soak: Soak, rng: random.Random, node: NodeProcess) -> None:
    """Let the paths of a node to some or all endpoints hang for a while, after a drawn lead."""
    await asyncio.sleep(rng.random() * MAX_LEAD_S)
    addresses, for_s = some_addresses(soak, rng), rng.random() * MAX_ALONE_S
    await cut_paths(soak, {node: CutKind.HANG}, addresses, for_s)
