"""Lets requests of a fleet in one process go through peers, and ends these on the way."""

from springbridge_standins.gateway.caller import ask
from springbridge_standins.gateway.cuts import CutKind, PathCuts, cut_all
from springbridge_standins.gateway.fleet import Fleet, until


async def cut_first(cuts: PathCuts, fleet: Fleet, kind: CutKind = CutKind.RESET) -> None:
    """Cut the paths of a fleet's first node to all engines, and let it find out."""
    cut_all(cuts, fleet, (0,), kind)
    for path in ("/safe/x", "/stream/x"):
        await ask(fleet.caller_address(0), path)
    await until(lambda: fleet.nodes[0].path_parts.paths.lost())


def break_tunnels(fleet: Fleet) -> None:
    """End all tunnels as if the peers were killed."""
    for node in fleet.nodes:
        for task in list(node.path_parts.tunnel_server._tasks):
            task.cancel()
