"""Starts the engines and the nodes of a soak, each behind proxies that harms interrupt."""

import asyncio
import contextlib
import random
from functools import partial
from pathlib import Path

from springbridge_standins.free_addresses import free_ports
from springbridge_standins.gateway.crashing import POISON_MARK
from springbridge_standins.gateway.crowd.target import NodeLimits
from springbridge_standins.gateway.engine import EngineStandIn
from springbridge_standins.gateway.soak.crashes import crash_engine
from springbridge_standins.gateway.soak.engine import SoakScript
from springbridge_standins.gateway.soak.harms import NODE_START_S
from springbridge_standins.gateway.soak.nodes import NodeProcess, Ports
from springbridge_standins.gateway.soak.odd_answers import OddAnswers
from springbridge_standins.gateway.soak.parts import PartHarm, has_poison_part
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.soak.statements import EngineStatements
from springbridge_standins.gateway.soak.unframed import UnframedAnswers, end_process
from springbridge_standins.http_standin import running
from springbridge_standins.http_wire import RawRequest
from springbridge_standins.proxy import LoopbackProxy

ENGINES = ("i-desk-1", "i-desk-2", "i-desk-3", "i-model-1", "i-model-2", "i-model-3")


async def start_engines(
    soak: Soak,
    statements: EngineStatements,
    part_harm: PartHarm,
    stack: contextlib.AsyncExitStack,
    seed: int,
    odd_answers: OddAnswers | None,
) -> None:
    """Start engines, each behind a proxy, and list them.

    Args:
      odd_answers: Sends answers that are none; None for no such answers.
    """

    async def crash_if_poison(request: RawRequest, name: str) -> bool:
        if request.body.startswith(POISON_MARK):
            await crash_engine(soak, name, statements.on_end)
            return True
        if has_poison_part(request):
            await part_harm.crash(name, statements.on_end)
            return True
        return False

    for name in ENGINES:
        script = SoakScript(
            name,
            partial(soak.endpoint_id, name),
            soak.record,
            soak.rng,
            crash_if_poison,
            statements,
            UnframedAnswers(
                random.Random(f"{seed} {name} unframed"),
                soak.counts,
                partial(end_process, soak, statements, name),
            ),
            odd_answers,
        )
        engine = EngineStandIn(name, script)
        await stack.enter_async_context(running(engine))
        proxy = LoopbackProxy(engine.address)
        await proxy.start()
        stack.callback(proxy.stop)
        soak.engines[name] = engine
        soak.engine_proxies.append(proxy)
    for name in ENGINES:
        await soak.list_engine(name, "ready")


async def start_nodes(
    soak: Soak,
    stack: contextlib.AsyncExitStack,
    folder: Path,
    ips: list[str],
    limits: NodeLimits | None = None,
) -> None:
    """Start nodes, each with its own proxy to the store.

    Args:
      limits: Limits of their machines; None for the defaults.
    """
    ports = Ports(*free_ports(5))
    seeds = [f"{ip}:{ports.peers}" for ip in ips[:3]]
    for number, ip in enumerate(ips):
        proxy = LoopbackProxy(soak.store.address)
        await proxy.start()
        stack.callback(proxy.stop)
        soak.store_proxies.append(proxy)
        node = NodeProcess(number, ip, ports, proxy.address, soak.duties.address, folder, seeds)
        if limits is not None:
            node.add_limits(limits.memory_mb, limits.max_fds)
        await node.start()
        stack.push_async_callback(node.end)
        soak.nodes.append(node)
    await asyncio.gather(*(node.wait_started(NODE_START_S) for node in soak.nodes))
