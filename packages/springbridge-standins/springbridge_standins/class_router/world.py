"""Runs nodes and stand-ins as processes on loopback, for tests, the demo and the soak."""

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

from springbridge_standins.class_router.caller import Caller, call_standin, wait_until
from springbridge_standins.free_addresses import free_address, with_free_addresses
from springbridge_standins.http_wire import RawAnswer, fetch

PEER_TOKEN = "peer-token-for-tests"
OPERATOR_TOKEN = "operator-token-for-tests"
# Time in which nodes have to agree on a version; a test fails after it.
READY_TIMEOUT_S = 20.0
# Set-up is not under test, so it may take as long as a busy machine needs.
SETUP_TIMEOUT_S = 120.0
# Longer than a node's own limit for a planned stop.
STOP_TIMEOUT_S = 30.0
# Time that an operator waits for the outcome of an edit.
EDIT_TIMEOUT_S = 20.0
# Time after which a read from a node that is frozen or gone fails.
READ_TIMEOUT_S = 2.0
# Returned by an edit in place of a version if no answer arrived.
NO_REPLY = -1
FIRST_VERSION = 1
EXAMPLES = Path(__file__).parents[4] / "examples"


@dataclass
class NodeProcess:
    """A node process, its addresses and its failure domain."""

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
    """The node and stand-in processes of one run, and the operations on them.

    Attributes:
      rows: The table's rows, with the addresses of this run's stand-ins.
      logs: Folder with the standard output and error of each process.
      platform: Address of the platform stand-in.
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
        """Return the endpoint rows by name, of one kind, or of all kinds if kind is empty."""
        return {
            key.removeprefix("engine/"): cells
            for key, cells in self.rows.items()
            if key.startswith("engine/") and kind in ("", cells["kind"])
        }

    async def start_node(self, name: str, failure_domain: str, table: str = "") -> NodeProcess:
        """Start a node; table is the address of a relay to the platform, empty for none."""
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
        """Start one process that runs a stand-in of a kind at each address."""
        command = ["-m", "springbridge_standins.class_router.serve", kind, *addresses]
        self.standins.append(await self._spawn(f"{kind}-{addresses[0]}", command))

    async def _spawn(self, name: str, command: list[str]) -> asyncio.subprocess.Process:
        with open(self.logs / f"{name.replace(':', '-')}.log", "ab") as out:
            return await asyncio.create_subprocess_exec(
                sys.executable, *command, stdout=out, stderr=out
            )

    async def publish_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Write the running nodes into the platform's list of instances, some marked as leaving."""
        entries = [
            {"peer_address": node.peer_address, "leaving": node.name in leaving}
            for node in self.nodes.values()
            if node.running
        ]
        await call_standin(self.platform, "/instances", {"instances": entries})

    async def import_rows(self) -> int:
        """Import the run's rows through the first node; return what edit returns."""
        node = next(iter(self.nodes.values()))
        edits = [Edit(key, None, cells) for key, cells in self.rows.items()]
        return await self.edit(node, "import", edits)

    async def edit(self, node: NodeProcess, change_id: str, edits: list[Edit]) -> int:
        """Send an edit to a node.

        Returns:
          The new version, the first result code negated if it was refused, or NO_REPLY.
        """
        body = {
            "change_id": change_id,
            "who": "world",
            "base_version": 0,
            "strict": False,
            "edits": edits,
        }
        try:
            response = await self._send_operator_request(
                node, "POST", "/operator/table", orjson.dumps(body), EDIT_TIMEOUT_S
            )
        except OSError:
            return NO_REPLY
        if not response.body or not response.is_complete:
            return NO_REPLY
        answer = orjson.loads(response.body)
        return answer["version"] if response.status == 200 else -answer["errors"][0]["code"]

    async def status(self, node: NodeProcess) -> dict:
        """Return a node's status; empty if it does not answer."""
        return await self._read(node, "/operator/status")

    async def table(self, node: NodeProcess) -> dict:
        """Return the table that a node has in force; empty if it does not answer."""
        return await self._read(node, "/operator/table")

    async def audit(self, node: NodeProcess) -> list[dict]:
        """Return the changes of the audit trail; none if the node does not answer."""
        return (await self._read(node, "/operator/audit")).get("changes", [])

    async def _read(self, node: NodeProcess, path: str) -> dict:
        try:
            response = await self._send_operator_request(node, "GET", path, b"", READ_TIMEOUT_S)
        except OSError:
            return {}
        return (
            orjson.loads(response.body) if response.status == 200 and response.is_complete else {}
        )

    async def _send_operator_request(
        self, node: NodeProcess, method: str, path: str, body: bytes, timeout_s: float
    ) -> RawAnswer:
        """Send an operator's request to a node; raises OSError if it does not answer."""
        token = {"Springbridge_Operator_Token": OPERATOR_TOKEN}
        return await fetch(node.caller_address, method, path, body, timeout_s, **token)

    async def wait_ready(
        self, nodes: list[NodeProcess], version: int = 0, within_s: float = READY_TIMEOUT_S
    ) -> bool:
        """Wait until nodes serve under a version and see each other; return whether they do.

        With version 0 they only have to see each other.
        """

        async def all_ready() -> bool:
            states = [await self.status(node) for node in nodes]
            return all(
                state
                and state["version"] >= version
                and (version == 0 or state["serving"])
                and len(state["live"]) >= len(nodes)
                for state in states
            )

        return await wait_until(all_ready, within_s)

    async def stop_node(self, node: NodeProcess) -> int:
        """Stop a node gracefully, listed as leaving, and return its exit status."""
        node.process.send_signal(signal.SIGTERM)
        await self.publish_list(frozenset({node.name}))
        return await asyncio.wait_for(node.process.wait(), STOP_TIMEOUT_S)

    def freeze(self, node: NodeProcess) -> None:
        """Stop a node's process with SIGSTOP."""
        node.frozen = True
        node.process.send_signal(signal.SIGSTOP)

    def thaw(self, node: NodeProcess) -> None:
        """Continue a frozen node with SIGCONT."""
        node.frozen = False
        node.process.send_signal(signal.SIGCONT)

    async def kill(self, node: NodeProcess) -> None:
        """Kill a node with SIGKILL and wait for its end."""
        node.process.kill()
        await node.process.wait()

    async def set_faults(self, address: str, **faults: object) -> None:
        """Set faults of the stand-in at an address."""
        await call_standin(address, "/faults", faults)

    async def counters(self, address: str) -> dict:
        """Return the counters of the stand-in at an address."""
        return await call_standin(address, "/counters")

    async def close(self) -> None:
        """Kill all processes that this world started."""
        for node in self.nodes.values():
            if node.running:
                node.process.kill()
        for process in self.standins:
            if process.returncode is None:
                process.kill()
        processes = [node.process for node in self.nodes.values()] + self.standins
        await asyncio.gather(*(process.wait() for process in processes))


def load_example(name: str) -> dict[str, Cells]:
    """Return the rows of an example table; raises ValueError if it does not load."""
    match sheet.load((EXAMPLES / name).read_text()):
        case Success(rows):
            return rows
    raise ValueError(f"examples/{name} does not load")


@asynccontextmanager
async def running_world(example: str, nodes: int):
    """Start a world with an example table in force, and end it on exit.

    SPRINGBRIDGE_WORLD_LOGS names a folder for the logs; without it they are deleted on exit.
    """
    rows = with_free_addresses(load_example(example))
    with tempfile.TemporaryDirectory() as folder:
        logs = Path(os.environ.get("SPRINGBRIDGE_WORLD_LOGS", folder))
        world = World(rows, logs, free_address())
        try:
            await _start_processes(world, nodes)
            await _install_table(world)
            yield world
        finally:
            await world.close()


async def _start_processes(world: World, nodes: int) -> None:
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

    await wait_until(platform_up, SETUP_TIMEOUT_S)
    for number in range(nodes):
        failure_domain = world.failure_domains[number % len(world.failure_domains)]
        await world.start_node(f"node-{number + 1}", failure_domain)


async def _install_table(world: World) -> None:
    """Import the table and wait until all nodes serve under it."""
    nodes = list(world.nodes.values())
    if not await world.wait_ready(nodes, within_s=SETUP_TIMEOUT_S):
        raise RuntimeError("nodes did not find each other before the set-up timeout")

    async def accepted() -> bool:
        return await world.import_rows() == FIRST_VERSION

    # The import is retried under the same change id, so that it is accepted only once.
    if not await wait_until(accepted, SETUP_TIMEOUT_S) or not await world.wait_ready(
        nodes, FIRST_VERSION, SETUP_TIMEOUT_S
    ):
        raise RuntimeError("table was not in force on all nodes before the set-up timeout")
