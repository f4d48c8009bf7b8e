"""Cuts of paths between nodes and engines in the soak: which nodes and engines, how, how long.

The cuts come from a generator of their own, so that the other faults of a seed stay as they are.
"""

import asyncio
import random
import time
from collections.abc import Mapping

from springbridge_standins.gateway.cuts import CutKind
from springbridge_standins.gateway.soak.nodes import NodeProcess
from springbridge_standins.gateway.soak.state import PathCut, Soak

# Longest pause between two cuts, and longest cut, in seconds; cuts overlap with other faults.
MAX_PAUSE_S = 2.0
MAX_CUT_S = 4.0
# Seconds by which a node may notice the end of a cut late.
SLACK_S = 0.5
# Share of the cuts that come as several short ones, one after the other, and the length of these.
REPEATED_SHARE = 0.3
SHORT_CUT_S = 0.4
REPEATS = 4
# Share of the cuts that strike all nodes of one failure domain.
DOMAIN_SHARE = 0.3


async def cut_paths_forever(soak: Soak, rng: random.Random) -> None:
    """Cut paths of some nodes, again and again, until cancelled."""
    while True:
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)
        nodes, addresses = _some_nodes(soak, rng), some_addresses(soak, rng)
        soak.counts["harm cut_paths"] += 1
        if rng.random() < REPEATED_SHARE:
            for _ in range(REPEATS):
                await _cut(soak, rng, nodes, addresses, SHORT_CUT_S)
                await asyncio.sleep(SHORT_CUT_S)
        else:
            await _cut(soak, rng, nodes, addresses, rng.random() * MAX_CUT_S)


async def _cut(
    soak: Soak, rng: random.Random, nodes: list[NodeProcess], addresses: list[str], for_s: float
) -> None:
    """Cut the paths from some nodes to some addresses for a while, each node in its own way."""
    kinds = {node: rng.choice(list(CutKind)) for node in nodes}
    await cut_paths(soak, kinds, addresses, for_s)


async def cut_paths(
    soak: Soak, kinds: Mapping[NodeProcess, CutKind], addresses: list[str], for_s: float
) -> None:
    """Cut the paths from some nodes, each in its way, to some addresses for some seconds."""
    soak.stamp("paths cut", kinds={node.name: kind.name for node, kind in kinds.items()})
    began_s = time.monotonic()
    for node, kind in kinds.items():
        node.cut_paths(kind, addresses)
    # Before the wait: a soak may end within a cut.
    until_s = began_s + for_s + SLACK_S
    engines = frozenset(name for name in soak.engines if soak.proxy_of(name).address in addresses)
    soak.path_cuts += [PathCut(node.caller_address, began_s, until_s, engines) for node in kinds]
    await asyncio.sleep(for_s)
    for node in kinds:
        node.cut_paths(None, [])
    soak.stamp("paths mended", nodes=sorted(node.name for node in kinds))


def _some_nodes(soak: Soak, rng: random.Random) -> list[NodeProcess]:
    """Return up to half of the nodes, or all of one failure domain."""
    if rng.random() < DOMAIN_SHARE:
        zone = rng.choice(soak.nodes).zone
        return [node for node in soak.nodes if node.zone == zone]
    return rng.sample(soak.nodes, rng.randint(1, max(1, len(soak.nodes) // 2)))


def some_addresses(soak: Soak, rng: random.Random) -> list[str]:
    """Return the addresses of all engines, or of some."""
    addresses = [proxy.address for proxy in soak.engine_proxies]
    if rng.random() < 0.5:
        return addresses
    return rng.sample(addresses, rng.randint(1, len(addresses)))
