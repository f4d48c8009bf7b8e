"""Starts nodes and stand-ins as processes on loopback and stops them, for tests, demo and soak."""

import asyncio
import os
import signal
import sys
import tempfile
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import orjson
from returns.result import Success
from springbridge.classes.table import sheet
from springbridge.classes.table.changes import Edit
from springbridge.classes.table.rows import Cells
from tornado.httpclient import AsyncHTTPClient

from springbridge_standins.class_router.caller import Caller, control, until
from springbridge_standins.free_addresses import free_address, with_free_addresses
from springbridge_standins.http_wire import RawAnswer, fetch

PEER_TOKEN = "peer-token-for-tests"
OPERATOR_TOKEN = "operator-token-for-tests"
# How long nodes may take to agree on a version before a test fails.
READY_S = 20.0
# Setting up a world is no verdict, so it may take as long as a crowded machine needs.
SETUP_S = 120.0
# Longer than a node's own time for a planned stop.
STOP_S = 30.0
# How long an operator waits for the outcome of an edit.
EDIT_S = 20.0
# A node that is frozen or gone is passed over after this.
READ_S = 2.0
# What an edit returns in place of a version when no answer came.
NO_REPLY = -1
FIRST_VERSION = 1
EXAMPLES = Path(__file__).parents[4] / "examples"


@dataclass
class NodeProcess:
    """A node process and how it was started."""

    name: str
    failure_domain: str
    caller_address: str
    peer_address: str
    process: asyncio.subprocess.Process
    frozen: bool = False

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.returncode is None


@dataclass
class World:
    """Processes of one run.

    Attributes:
      rows: The table's rows, with the addresses of this run's stand-ins.
      logs: Folder with the standard output of each process.
    """

    rows: dict[str, Cells]
    logs: Path
    platform: str
    nodes: dict[str, NodeProcess] = field(default_factory=dict)
    standins: list[asyncio.subprocess.Process] = field(default_factory=list)
    client: AsyncHTTPClient = field(default_factory=lambda: AsyncHTTPClient(force_instance=True))
    caller: Caller = field(default_factory=Caller)

    @property
    def failure_domains(self) -> list[str]:
        """Return the failure domains of the table's endpoints."""
        return sorted({cells["place"] for cells in self.endpoints().values()})

    def endpoints(self, kind: str = "") -> dict[str, Cells]:
        """Return the engine rows by name, of one kind or all."""
        return {
            key.removeprefix("engine/"): cells
            for key, cells in self.rows.items()
            if key.startswith("engine/") and kind in ("", cells["kind"])
        }

    async def start_node(self, name: str, failure_domain: str, table: str = "") -> NodeProcess:
        """Start a node; table is the address of a relay to the platform, if there is one."""
        caller_address, peer_address = free_address(), free_address()
        flags = {
            "instance": name,
            "place": failure_domain,
            "caller-address": caller_address,
            "peer-address": peer_address,
            "table-address": table or self.platform,
            "list-address": self.platform,
            "peer-token": PEER_TOKEN,
            "operator-token": OPERATOR_TOKEN,
        }
        args = [f"--{flag}={value}" for flag, value in flags.items()]
        command = ["-m", "springbridge_node", "serve", "--abort-on-violation", *args]
        process = await self._spawn(name, command)
        node = NodeProcess(name, failure_domain, caller_address, peer_address, process)
        self.nodes[name] = node
        await self.publish_list()
        return node

    async def start_standin(self, kind: str, addresses: list[str]) -> None:
        """Start one process of stand-ins of a kind."""
        command = ["-m", "springbridge_standins.class_router.serve", kind, *addresses]
        self.standins.append(await self._spawn(f"{kind}-{addresses[0]}", command))

    async def _spawn(self, name: str, command: list[str]) -> asyncio.subprocess.Process:
        with open(self.logs / f"{name.replace(':', '-')}.log", "ab") as out:
            return await asyncio.create_subprocess_exec(
                sys.executable, *command, stdout=out, stderr=out
            )

    async def publish_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Write the nodes that run into the platform's list of instances."""
        entries = [
            {"peer_address": node.peer_address, "leaving": node.name in leaving}
            for node in self.nodes.values()
            if node.running
        ]
        await control(self.platform, "/instances", {"instances": entries})

    async def import_rows(self) -> int:
        """Put the run's rows in force through the first node and return the version."""
        node = next(iter(self.nodes.values()))
        edits = [Edit(key, None, cells) for key, cells in self.rows.items()]
        return await self.edit(node, "import", edits)

    async def edit(self, node: NodeProcess, change_id: str, edits: list[Edit]) -> int:
        """Send an edit to a node.

        Returns:
          The version, minus the first result code, or NO_REPLY.
        """
        body = {
            "change_id": change_id,
            "who": "world",
            "base_version": 0,
            "strict": False,
            "edits": edits,
        }
        try:
            got = await self._operate(node, "POST", "/operator/table", orjson.dumps(body), EDIT_S)
        except OSError:
            return NO_REPLY
        if not got.body or not got.is_complete:
            return NO_REPLY
        answer = orjson.loads(got.body)
        return answer["version"] if got.status == 200 else -answer["errors"][0]["code"]

    async def status(self, node: NodeProcess) -> dict:
        """Return a node's state; empty if it does not answer."""
        return await self._read(node, "/operator/status")

    async def table(self, node: NodeProcess) -> dict:
        """Return the table that a node has in force; empty if it does not answer."""
        return await self._read(node, "/operator/table")

    async def audit(self, node: NodeProcess) -> list[dict]:
        """Return the audit trail."""
        return (await self._read(node, "/operator/audit")).get("changes", [])

    async def _read(self, node: NodeProcess, path: str) -> dict:
        try:
            got = await self._operate(node, "GET", path, b"", READ_S)
        except OSError:
            return {}
        return orjson.loads(got.body) if got.status == 200 and got.is_complete else {}

    async def _operate(
        self, node: NodeProcess, method: str, path: str, body: bytes, timeout_s: float
    ) -> RawAnswer:
        """Ask a node as an operator; raises OSError if it does not answer."""
        token = {"Springbridge_Operator_Token": OPERATOR_TOKEN}
        return await fetch(node.caller_address, method, path, body, timeout_s, **token)

    async def ready(
        self, nodes: list[NodeProcess], version: int = 0, within_s: float = READY_S
    ) -> bool:
        """Wait until nodes serve under a version and see each other."""

        async def all_ready() -> bool:
            states = [await self.status(node) for node in nodes]
            return all(
                state
                and state["version"] >= version
                and (version == 0 or state["serving"])
                and len(state["live"]) >= len(nodes)
                for state in states
            )

        return await until(all_ready, within_s)

    async def stop_node(self, node: NodeProcess) -> int:
        """Stop a node as planned and return its exit status."""
        node.process.send_signal(signal.SIGTERM)
        await self.publish_list(frozenset({node.name}))
        return await asyncio.wait_for(node.process.wait(), STOP_S)

    def freeze(self, node: NodeProcess) -> None:
        """Freeze a node."""
        node.frozen = True
        node.process.send_signal(signal.SIGSTOP)

    def thaw(self, node: NodeProcess) -> None:
        """Let a frozen node go on."""
        node.frozen = False
        node.process.send_signal(signal.SIGCONT)

    async def kill(self, node: NodeProcess) -> None:
        """Kill a node."""
        node.process.kill()
        await node.process.wait()

    async def fault(self, address: str, **faults: object) -> None:
        """Switch faults of a stand-in."""
        await control(address, "/faults", faults)

    async def counters(self, address: str) -> dict:
        """Return a stand-in's counters."""
        return await control(address, "/counters")

    async def close(self) -> None:
        """End all processes that this world started."""
        for node in self.nodes.values():
            if node.running:
                node.process.kill()
        for process in self.standins:
            if process.returncode is None:
                process.kill()
        processes = [node.process for node in self.nodes.values()] + self.standins
        await asyncio.gather(*(process.wait() for process in processes))


def load_example(name: str) -> dict[str, Cells]:
    """Return the rows of an example table."""
    match sheet.load((EXAMPLES / name).read_text()):
        case Success(rows):
            return rows
    raise ValueError(f"examples/{name} does not load")


@asynccontextmanager
async def running_world(example: str, nodes: int):
    """Start a world with an example table in force, and end it."""
    rows = with_free_addresses(load_example(example))
    with tempfile.TemporaryDirectory() as folder:
        logs = Path(os.environ.get("SPRINGBRIDGE_WORLD_LOGS", folder))
        world = World(rows, logs, free_address())
        try:
            await _start(world, nodes)
            await _put_in_force(world)
            yield world
        finally:
            await world.close()


async def _start(world: World, nodes: int) -> None:
    """Start the stand-ins and nodes."""
    await world.start_standin("platform", [world.platform])
    checking, blind = [], []
    for cells in world.endpoints("model").values():
        (checking if cells["checks_tokens"] == "yes" else blind).append(cells["address"])
    services = [cells["address"] for cells in world.endpoints("service").values()]
    for kind, addresses in (("engine", checking), ("blind-engine", blind), ("service", services)):
        if addresses:
            await world.start_standin(kind, addresses)

    async def platform_up() -> bool:
        try:
            await world.counters(world.platform)
        except OSError:
            return False
        return True

    await until(platform_up, SETUP_S)
    for number in range(nodes):
        failure_domain = world.failure_domains[number % len(world.failure_domains)]
        await world.start_node(f"node-{number + 1}", failure_domain)


async def _put_in_force(world: World) -> None:
    """Import the table and wait until all nodes serve under it."""
    nodes = list(world.nodes.values())
    if not await world.ready(nodes, within_s=SETUP_S):
        raise RuntimeError("the nodes did not find each other")

    async def accepted() -> bool:
        return await world.import_rows() == FIRST_VERSION

    # An operator repeats an import under its change id, which is accepted once.
    if not await until(accepted, SETUP_S) or not await world.ready(nodes, FIRST_VERSION, SETUP_S):
        raise RuntimeError("the table did not come into force")
