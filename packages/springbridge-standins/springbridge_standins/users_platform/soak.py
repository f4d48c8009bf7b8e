"""A randomized soak: real node processes, harmed from outside, with the promises checked all along.

What is checked is what callers and engines see: whole answers that belong to their request, nothing
run twice that may not be, nothing run that was told "not run", nothing that nobody asked, the right
customer. Every chance comes from the seed; the moments at which processes act do not.
"""

import asyncio
import contextlib
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import orjson
import typer

from springbridge_standins.users_platform.caller import ask
from springbridge_standins.users_platform.engine import EngineStandIn
from springbridge_standins.users_platform.fleet import _free_ports, configuration
from springbridge_standins.users_platform.proxy import Harm, LoopbackProxy
from springbridge_standins.users_platform.soak_engine import (
    Record,
    SoakScript,
    digest,
    plain_of,
    stream_of,
)
from springbridge_standins.users_platform.soak_nodes import NodeProcess, Ports
from springbridge_standins.users_platform.store import StoreFault, StoreStandIn, running_store
from springbridge_standins.users_platform.wire import RawAnswer

CUSTOMER = "councils"
PATHS = ("/safe/x", "/once/x", "/stream/x", "/single/x")
RUN_ONCE = frozenset({"/once/x", "/single/x"})
NOT_RUN = frozenset({408, 421, 429, 503})
FIRST_NET = 2
NETS = 200
START_S = 2.0
CALM_S = 3.0
GRACE_S = 6.0


@dataclass(frozen=True)
class Asked:
    """A request that a caller sent."""

    path: str
    body_digest: str


@dataclass
class Soak:
    """The parts of one run and what it found.

    Attributes:
      violations: Each broken promise in a line.
      counts: Answers by path and status, and faults by name.
    """

    rng: random.Random
    store: StoreStandIn
    record: Record = field(default_factory=Record)
    nodes: list[NodeProcess] = field(default_factory=list)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    scripts: list[SoakScript] = field(default_factory=list)
    engine_proxies: list[LoopbackProxy] = field(default_factory=list)
    store_proxies: list[LoopbackProxy] = field(default_factory=list)
    asked: dict[str, Asked] = field(default_factory=dict)
    told_not_run: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    version: int = 1

    def violated(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{promise}: {detail}")


async def call_forever(soak: Soak, number: int) -> None:
    """Send requests one after another as one caller does."""
    count = 0
    while True:
        count += 1
        request_id = f"c{number}-{count}"
        path = soak.rng.choice(PATHS)
        body = bytes(soak.rng.randrange(256) for _ in range(soak.rng.randrange(1, 400)))
        soak.asked[request_id] = Asked(path, digest(body))
        address = await _address(soak)
        try:
            got = await ask(
                address, path, method="POST", body=body, Request_Id=request_id, Tenant="forged"
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            soak.counts[f"{path} no answer"] += 1
            await asyncio.sleep(0.1)
            continue
        soak.counts[f"{path} {got.status}"] += 1
        _check_answer(soak, path, request_id, body, got)
        await asyncio.sleep(soak.rng.random() * 0.05)


async def _address(soak: Soak) -> str:
    """Return the address of a node as the directory of some node tells it."""
    for node in soak.rng.sample(soak.nodes, len(soak.nodes)):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(0.5):
                told = await ask(node.directory, "/v1/resolve?name=desk.example&zone=perth-a")
            if told.status == 200:
                return soak.rng.choice(orjson.loads(told.body)["addresses"])
    return soak.rng.choice(soak.nodes).callers


def _check_answer(soak: Soak, path: str, request_id: str, body: bytes, got: RawAnswer) -> None:
    """Check what a caller got."""
    streams = path in ("/stream/x", "/single/x")
    expected = stream_of(request_id) if streams else plain_of(request_id, body)
    if got.status == 200 and got.whole and got.body != expected:
        soak.violated("whole answer", f"{request_id} {path} got {got.body[:80]!r}")
    if got.status == 200 and not got.whole and not expected.startswith(got.body):
        soak.violated("part of its own answer", f"{request_id} {path} got {got.body[:80]!r}")
    if got.status in (401, 403, 404):
        soak.violated("allowed requests are not denied", f"{request_id} {path} {got.status}")
    if got.status in NOT_RUN and path in RUN_ONCE:
        soak.told_not_run.add(request_id)
        if got.status == 503 and "retry-after" not in got.headers:
            soak.violated("time to come back", f"{request_id} {path}")


def check_record(soak: Soak) -> None:
    """Check what the engines saw."""
    for request_id, runs in soak.record.runs.items():
        asked = soak.asked.get(request_id)
        if asked is None:
            soak.violated("nothing unasked runs", request_id)
            continue
        if soak.record.bodies[request_id] != asked.body_digest:
            soak.violated("bodies are unchanged", request_id)
        if soak.record.tenants[request_id] != CUSTOMER:
            soak.violated("the key's customer", request_id)
        if request_id in soak.told_not_run:
            soak.violated("not run means not run", request_id)
        if runs > (1 if asked.path in RUN_ONCE else 2):
            soak.violated("attempts", f"{request_id} {asked.path} ran {runs} times")


async def harm_forever(soak: Soak) -> None:
    """Do harm again and again; the harms overlap."""
    harms = (
        _harm_engine_link,
        _harm_store_link,
        _harm_store,
        _kill_node,
        _freeze_node,
        _stop_node,
        _reload_node,
        _change_configuration,
        _drain_engine,
    )
    async with asyncio.TaskGroup() as group:
        while True:
            harm = soak.rng.choice(harms)
            soak.counts[f"harm {harm.__name__.strip('_')}"] += 1
            group.create_task(harm(soak))
            await asyncio.sleep(soak.rng.random() * 1.2)


async def _harm_engine_link(soak: Soak) -> None:
    await _harm_link(soak, soak.engine_proxies)


async def _harm_store_link(soak: Soak) -> None:
    await _harm_link(soak, soak.store_proxies)


async def _harm_link(soak: Soak, proxies: list[LoopbackProxy]) -> None:
    """Harm one link for a while."""
    proxy = soak.rng.choice(proxies)
    proxy.harm = soak.rng.choice([harm for harm in Harm if harm is not Harm.NONE])
    await asyncio.sleep(soak.rng.random() * 3)
    proxy.harm = Harm.NONE


async def _harm_store(soak: Soak) -> None:
    """Let the store fail for all."""
    soak.store.fault = soak.rng.choice([StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT])
    await asyncio.sleep(soak.rng.random() * 3)
    soak.store.fault = StoreFault.NONE


async def _kill_node(soak: Soak) -> None:
    """Kill a node and start it again."""
    async with _free_node(soak) as node:
        if node is not None:
            node.signal(signal.SIGKILL)
            await node.ended()
            await asyncio.sleep(soak.rng.random())
            await node.start()
            await asyncio.sleep(START_S)


async def _freeze_node(soak: Soak) -> None:
    """Stop a node's clock hand and let it go on."""
    async with _free_node(soak) as node:
        if node is not None:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.random() * 3)
            node.signal(signal.SIGCONT)


async def _stop_node(soak: Soak) -> None:
    """Stop a node as planned work does; it has to end by itself within the grace."""
    async with _free_node(soak) as node:
        if node is None:
            return
        node.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + 2):
                status = await node.ended()
            if status:
                soak.violated("a planned stop ends well", f"{node.name} status {status}")
        except TimeoutError:
            soak.violated("a planned stop ends in its grace", node.name)
            node.signal(signal.SIGKILL)
            await node.ended()
        await node.start()
        await asyncio.sleep(START_S)


async def _reload_node(soak: Soak) -> None:
    """Change a settings file, with a signal or without."""
    node = soak.rng.choice(soak.nodes)
    node.touch_settings()
    if soak.rng.random() < 0.5 and not node.busy:
        node.signal(signal.SIGHUP)


async def _change_configuration(soak: Soak) -> None:
    """Write a new version that allows the same."""
    soak.version += soak.rng.randint(1, 3)
    await soak.store.put("op", "config", configuration(soak.version))


async def _drain_engine(soak: Soak) -> None:
    """Let an engine say that it leaves, and come back."""
    name = soak.rng.choice(sorted(soak.engines))
    service = "desk" if "desk" in name else "model"
    await _list_engine(soak, name, service, "draining")
    await asyncio.sleep(1 + soak.rng.random() * 2)
    await _list_engine(soak, name, service, "ready")


@contextlib.asynccontextmanager
async def _free_node(soak: Soak):
    """Give a node that no other harm holds, as long as two others are well; else None."""
    free = [node for node in soak.nodes if not node.busy]
    if len(free) < 3:
        yield None
        return
    node = soak.rng.choice(free)
    node.busy = True
    try:
        yield node
    finally:
        node.busy = False


async def _list_engine(soak: Soak, name: str, service: str, state: str) -> None:
    """Write an engine's entry, with the address of its proxy."""
    proxy = soak.engine_proxies[sorted(soak.engines).index(name)]
    await soak.store.put(
        "servers",
        name,
        {
            "service": service,
            "address": proxy.address,
            "zone": "perth-a",
            "slots": 8,
            "state": state,
            "sequence": 1,
        },
    )


async def run_soak(
    seed: int, seconds: float, folder: Path, nodes: int = 4, callers: int = 8
) -> Soak:
    """Run a soak and return what it found; the nodes' logs are in the folder then."""
    async with contextlib.AsyncExitStack() as stack:
        soak = Soak(random.Random(seed), StoreStandIn())
        await stack.enter_async_context(running_store(soak.store))
        await _start_engines(soak, stack)
        await soak.store.put("op", "config", configuration(soak.version))
        net = f"127.{FIRST_NET + seed % NETS}.0"
        await _start_nodes(soak, stack, folder, [f"{net}.{number + 1}" for number in range(nodes)])
        tasks = [asyncio.ensure_future(call_forever(soak, number)) for number in range(callers)]
        tasks.append(asyncio.ensure_future(harm_forever(soak)))
        done, _ = await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()
        check_record(soak)
        return soak


async def _start_engines(soak: Soak, stack: contextlib.AsyncExitStack) -> None:
    """Start engines, each behind a proxy."""
    names = ["i-desk-1", "i-desk-2", "i-desk-3", "i-model-1", "i-model-2", "i-model-3"]
    for name in names:
        script = SoakScript(name, soak.record, soak.rng)
        engine = EngineStandIn(name, script)
        await engine.start("127.0.0.1")
        stack.callback(engine.stop)
        proxy = LoopbackProxy(engine.address)
        await proxy.start()
        stack.callback(proxy.stop)
        soak.engines[name] = engine
        soak.scripts.append(script)
        soak.engine_proxies.append(proxy)
    for name in names:
        await _list_engine(soak, name, "desk" if "desk" in name else "model", "ready")


async def _start_nodes(
    soak: Soak, stack: contextlib.AsyncExitStack, folder: Path, ips: list[str]
) -> None:
    """Start nodes, each with a proxy of its own to the store."""
    ports = Ports(*_free_ports(5))
    seeds = [f"{ip}:{ports.peers}" for ip in ips[:3]]
    for number, ip in enumerate(ips):
        proxy = LoopbackProxy(soak.store.address)
        await proxy.start()
        stack.callback(proxy.stop)
        soak.store_proxies.append(proxy)
        node = NodeProcess(number, ip, ports, proxy.address, folder, seeds)
        await node.start()
        stack.push_async_callback(node.end)
        soak.nodes.append(node)
    await asyncio.sleep(START_S)


def main(seed: int = 1, minutes: float = 1.0, seeds: int = 1, nodes: int = 4) -> None:
    """Run soaks with one seed after another and fail if a promise was broken."""
    failed = False
    for number in range(seed, seed + seeds):
        began_s = time.monotonic()
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        soak = asyncio.run(run_soak(number, minutes * 60, folder, nodes))
        failed = failed or bool(soak.violations)
        requests = len(soak.asked)
        harms = sum(count for name, count in soak.counts.items() if name.startswith("harm"))
        typer.echo(
            f"seed {number}: {len(soak.violations)} violations, {requests} requests, "
            f"{harms} harms, {time.monotonic() - began_s:.0f} s"
        )
        for line in soak.violations[:20]:
            typer.echo(f"  {line}")
        if soak.violations:
            typer.echo(f"  logs kept in {folder}")
        else:
            shutil.rmtree(folder)
        for name, count in sorted(soak.counts.items()):
            typer.echo(f"  {count:6} {name}")
    raise SystemExit(failed)


if __name__ == "__main__":
    typer.run(main)
