"""Stand-ins for the scripts of the second review: store, engines, clients and node processes.

Only the standard library is used. All of it runs in one event loop of the script's process, except
the nodes, which are processes started with the command of deploy/system.toml.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-1"
TENANT = "councils"
# Port of the metrics in deploy/system.toml; each node has an IP of its own.
METRICS_PORT = 9464
ZONES = ("zone-a", "zone-b", "zone-c")
# Exit status of a case that broke its rule, which no other end of the interpreter has.
BROKEN = 10
# Longest time for all nodes to become ready, in seconds.
MAX_START_S = 40.0


@dataclass
class Request:
    """A request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the Request-Id."""
        return self.headers.get("request-id", "")

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        return dict(parse_qsl(urlsplit(self.target).query))


@dataclass
class Answer:
    """An answer as a client read it; is_whole tells whether its body came to its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers, whose names are returned in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(
    reader: asyncio.StreamReader,
    headers: dict[str, str],
    on_data: Callable[[bytes], None] = lambda data: None,
) -> tuple[bytes, bool]:
    """Read a body with a length or in chunks; return it, and whether it is whole."""
    body = bytearray()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    return bytes(body), True
                body += piece[:-2]
                on_data(bytes(piece[:-2]))
        body += await reader.readexactly(int(headers.get("content-length", 0)))
        on_data(bytes(body))
        return bytes(body), True
    except (asyncio.IncompleteReadError, ConnectionError):
        return bytes(body), False


def message(start: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if "Transfer-Encoding" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Server:
    """An HTTP server; a subclass answers each request."""

    def __init__(self) -> None:
        """Start without a socket."""
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, by default a free one."""
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while not writer.is_closing():
                start, headers = await read_head(reader)
                method, target, _ = start.split(" ")
                body, is_whole = await read_body(reader, headers)
                if not is_whole:
                    return
                await self.respond(Request(method, target, headers, body), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def respond(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        raise NotImplementedError


@dataclass
class Row:
    """A row of the store."""

    table: str
    key: str
    value: str
    ver: int
    gone: bool = False


class Store(Server):
    """The platform's store, as PROTOCOL.md describes it: rows, transactions and the feed.

    Attributes:
      intercept: Called with each call before it is carried out; returns True if it has dealt with
        the call itself.
      on_answer: Called with a call and its answer; returns True if the answer is to be lost.
    """

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self.rows: dict[tuple[str, str], Row] = {}
        self.ver = 0
        self._changed = asyncio.Condition()
        self.intercept: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.on_answer: Callable[[Request, dict], bool] = lambda request, answer: False

    async def put(self, table: str, key: str, document: dict) -> None:
        """Write a row as the operator or an engine."""
        await self._write(table, key, base64.b64encode(json.dumps(document).encode()).decode())

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        async with self._changed:
            self.ver += 1
            if (table, key) in self.rows:
                self.rows[table, key] = Row(table, key, "", self.ver, gone=True)
            self._changed.notify_all()

    async def _write(self, table: str, key: str, value: str) -> None:
        async with self._changed:
            self.ver += 1
            self.rows[table, key] = Row(table, key, value, self.ver)
            self._changed.notify_all()

    async def respond(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry out a call and answer it."""
        if self.intercept is not None and await self.intercept(request, writer):
            return
        status, answer = await self._carry_out(request)
        if self.on_answer(request, answer):
            # An answer was lost on this connection, which says nothing further.
            await asyncio.Event().wait()
        body = json.dumps(answer).encode()
        writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, body))
        await writer.drain()

    async def _carry_out(self, request: Request) -> tuple[int, dict]:
        query = request.query
        if request.path == "/v1/rows-get":
            return 200, self._answer(query["table"], -1) | {"more": False}
        if request.path == "/v1/rows-feed":
            since = int(query["sinceRevision"])
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                    await self._changed.wait_for(
                        lambda: self._answer(query["table"], since)["rows"]
                    )
            return 200, self._answer(query["table"], since)
        if request.path == "/v1/rows-tx":
            return await self._transact(json.loads(request.body))
        return 404, {}

    async def _transact(self, changes: dict) -> tuple[int, dict]:
        for condition in changes.get("expectedRevision", ()):
            row = self.rows.get((condition["table"], condition["key"]))
            ver = 0 if row is None or row.gone else row.ver
            if ver != condition["ver"]:
                return 412, {"rows": []} | self._stamp()
        for row in changes.get("put", ()):
            await self._write(row["table"], row["key"], row["value"])
        for row in changes.get("remove", ()):
            await self.remove(row["table"], row["key"])
        return 200, self._stamp()

    def _answer(self, table: str, since: int) -> dict:
        rows = []
        for row in sorted(self.rows.values(), key=lambda each: each.ver if since >= 0 else 0):
            if row.table != table or row.ver <= since or row.gone and since < 0:
                continue
            fields = {"table": table, "part": "", "key": row.key, "ver": row.ver}
            rows.append(fields | ({"gone": True} if row.gone else {"value": row.value}))
        return {"rows": rows} | self._stamp()

    def _stamp(self) -> dict:
        return {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}


@dataclass
class Arrival:
    """A request that reached an engine."""

    at_s: float
    request_id: str
    engine: str
    path: str
    headers: dict[str, str]


class Engine(Server):
    """One engine, which records what arrives and answers with answer().

    Attributes:
      answer: Answers a request whose Expected-Instance fits.
      work_s: Seconds for which plain() and fail() work.
    """

    def __init__(self, name: str, service: str, arrivals: list[Arrival]) -> None:
        """Set its id, which stands in the store, and the list that its requests are added to."""
        super().__init__()
        self.name, self.service = name, service
        self.arrivals = arrivals
        self.work_s = 0.0
        self.answer: Callable[[Request, asyncio.StreamWriter], Awaitable[None]] = self.plain

    async def respond(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a health check or a request; work ends when the connection is closed."""
        if request.path == "/healthz":
            writer.write(message("HTTP/1.1 200 X", {"Instance-Id": self.name}))
            await writer.drain()
            return
        if request.headers.get("expected-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 X", {"Request-Id": request.id, "Not-Executed": 1}))
            await writer.drain()
            return
        now_s = time.monotonic()
        arrival = Arrival(now_s, request.id, self.name, request.path, request.headers)
        self.arrivals.append(arrival)
        work = asyncio.ensure_future(self.answer(request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            is_done = work.done()
        finally:
            for each in (work, gone):
                each.cancel()
            results = await asyncio.gather(work, gone, return_exceptions=True)
        if not is_done:
            raise ConnectionResetError
        if isinstance(results[0], Exception):
            raise results[0]

    async def plain(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer with success."""
        await asyncio.sleep(self.work_s)
        headers = {"Request-Id": request.id, "Response-Signature": f"sig-{self.name}"}
        writer.write(message("HTTP/1.1 200 OK", headers, f"body of {request.id}".encode()))
        await writer.drain()

    async def fail(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer with the engine's own error, which counts as run."""
        await asyncio.sleep(self.work_s)
        headers = {"Request-Id": request.id, "Response-Signature": f"sig-{self.name}"}
        writer.write(message("HTTP/1.1 500 X", headers, b"failed"))
        await writer.drain()


def entry(engine: Engine, zone: str = ZONES[0], state: str = "ready") -> dict:
    """Return what an engine writes into the list."""
    return {
        "service": engine.service,
        "address": engine.address,
        "zone": zone,
        "version": "v1",
        "slots": 64,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": 1,
    }


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route with path prefix /NAME/."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": 6000,
        "targetLatencyMs": 1500,
        "priority": 1,
        "maxAttempts": 2,
    } | fields


def configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 360} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 20000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


@dataclass(frozen=True)
class Ports:
    """The ports of all nodes."""

    front: int
    ready: int
    control: int
    directory: int
    internal: int


class Node:
    """One node process, on an IP of its own."""

    def __init__(
        self, number: int, ip: str, ports: Ports, store: str, seeds: list[str], folder: Path
    ) -> None:
        """Set what its settings hold."""
        self.name = f"edge-{number}"
        self.ip, self.ports, self.store, self.seeds = ip, ports, store, seeds
        self.zone = ZONES[number % len(ZONES)]
        self.front = f"{ip}:{ports.front}"
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None
        self.memory_mb = 300

    def write_settings(self, bootstrap: bool, bounds: dict[str, object]) -> None:
        """Write its settings file."""
        ip, ports = self.ip, self.ports
        lines = [
            f'nodeName = "{self.name}"',
            'role = "node"',
            'machineClass = "edge"',
            'serves = ["edge","registry","control"]',
            f'ip = "{ip}"',
            f'zone = "{self.zone}"',
            'region = "region"',
            f"internalPorts = [{ports.internal},{ports.internal}]",
            f"seeds = {json.dumps(self.seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            "[listen]",
            f'front = "{ip}:{ports.front}"',
            f'ready = "{ip}:{ports.ready}"',
            f'control = "{ip}:{ports.control}"',
            f'directory = "{ip}:{ports.directory}"',
            "[limits]",
            f"memoryMb = {self.memory_mb}",
            "maxFds = 4100",
            "[bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in bounds.items()),
            "[platform]",
            f'address = "{self.store}"',
            'form = "table"',
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = kept | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SPRINGBRIDGE_SETTINGS": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        try:
            answer = await ask(f"{self.ip}:{self.ports.ready}", "GET", "/v1/readyz", timeout_s=1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200


async def ask(
    address: str,
    method: str,
    target: str,
    headers: dict[str, object] | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
    on_data: Callable[[bytes], None] = lambda data: None,
) -> Answer:
    """Send one request on a new connection and read its answer.

    Raises:
      OSError, asyncio.IncompleteReadError, TimeoutError: There was no answer.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": HOST} | (headers or {})
            writer.write(message(f"{method} {target} HTTP/1.1", fields, body))
            start, found = await read_head(reader)
            got, is_whole = await read_body(reader, found, on_data)
            return Answer(int(start.split(" ")[1]), found, got, is_whole)
        finally:
            writer.close()


def node_of_connection(nodes: list[Node], port: int) -> Node | None:
    """Return the node whose process has the connection with some local port, None if none has."""
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = (line.split() for line in lines)
    inodes = {each[9] for each in fields if int(each[1].partition(":")[2], 16) == port}
    wanted = {f"socket:[{inode}]" for inode in inodes if inode != "0"}
    return next((node for node in nodes if wanted & _open_files(node)), None)


def _open_files(node: Node) -> set[str]:
    """Return what the descriptors of a node stand for."""
    found = set()
    with contextlib.suppress(OSError):
        for descriptor in Path(f"/proc/{node.process.pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                found.add(os.readlink(descriptor))
    return found


def request_headers(request_id: str, deadline_ms: int = 6000) -> dict[str, object]:
    """Return the headers of a client's request."""
    return {
        "Request-Id": request_id,
        "Deadline-Ms": deadline_ms,
        "Authorization": f"Bearer {KEY}",
    }


def free_network(nodes: int) -> tuple[str, Ports]:
    """Return a loopback network and ports that are free on the IPs of all nodes."""
    for number in range(30 + os.getpid() % 150, 250):
        ips = [f"127.{number}.0.{index + 2}" for index in range(nodes)]
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    stack.enter_context(socket.socket()).bind((ip, METRICS_PORT))
                ports = [_free_port(ips, stack) for _ in range(5)]
            except OSError:
                continue
            return f"127.{number}.0", Ports(*ports)
    raise RuntimeError("no free loopback network")


def _free_port(ips: list[str], stack: contextlib.ExitStack) -> int:
    """Return a port that is free for TCP and UDP on some IPs, and keep it until the stack ends."""
    for port in itertools.count(20000 + os.getpid() % 9000):
        with contextlib.suppress(OSError), contextlib.ExitStack() as trial:
            for ip in ips:
                trial.enter_context(socket.socket()).bind((ip, port))
                udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                trial.enter_context(udp).bind((ip, port))
            stack.enter_context(trial.pop_all())
            return port
    raise RuntimeError("no free port")


BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "failClosed": False,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 54,
    "recoveryS": 12,
    "passMs": 120,
    "ttl_max_s": 5,
}


@dataclass
class World:
    """A small deployment: store, engines, node processes."""

    folder: Path
    store: Store = field(default_factory=Store)
    engines: list[Engine] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    bounds: dict[str, object] = field(default_factory=lambda: dict(BOUNDS))
    memory_mb: int = 300

    async def add_engines(self, service: str, count: int) -> None:
        """Start engines and write them into the list."""
        for _ in range(count):
            engine = Engine(f"i-{service}-{len(self.engines)}", service, self.arrivals)
            await engine.start()
            self.engines.append(engine)
            zone = ZONES[len(self.engines) % len(ZONES)]
            await self.store.put("servers", engine.name, entry(engine, zone))

    async def start_nodes(self, count: int) -> None:
        """Start node processes, and wait until all are ready.

        Raises:
          RuntimeError: They do not become ready.
        """
        network, ports = free_network(count)
        ips = [f"{network}.{index + 2}" for index in range(count)]
        seeds = [f"{ip}:{ports.control}" for ip in ips[:3]]
        for number, ip in enumerate(ips):
            node = Node(number, ip, ports, self.store.address, seeds, self.folder)
            node.memory_mb = self.memory_mb
            node.write_settings(bootstrap=True, bounds=self.bounds)
            node.start()
            self.nodes.append(node)
        end_s = time.monotonic() + MAX_START_S
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end_s:
                raise RuntimeError("nodes are not ready")
            await asyncio.sleep(0.2)
        for node in self.nodes:
            node.write_settings(bootstrap=False, bounds=self.bounds)

    async def end(self) -> None:
        """End all processes and servers."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                await node.wait_ended()
        for server in (*self.engines, self.store):
            await server.stop()


class Record:
    """Writes record.txt: one line for each thing that happened, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open("w")
        self.began_s = time.monotonic()

    def write(self, text: str, at_s: float | None = None) -> None:
        """Write a line."""
        moment_s = (time.monotonic() if at_s is None else at_s) - self.began_s
        self._file.write(f"{moment_s:8.3f} {text}\n")

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


def run_case(
    case: Callable[[World, Record, bool], Awaitable[bool]], has_trouble: bool, record_file: Path
) -> None:
    """Run a case, and exit with BROKEN if the rule was broken, 0 if it held, 2 if it could not run.

    Args:
      case: Gets the world, the record, and whether the disruption takes place.
      has_trouble: Whether the disruption takes place.
      record_file: Gets what was sent, answered and run.
    """
    import tempfile

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            world, record = World(Path(temporary)), Record(record_file)
            try:
                async with asyncio.timeout(110):
                    await world.store.start()
                    return await case(world, record, has_trouble)
            finally:
                await world.end()
                record.close()

    try:
        is_broken = asyncio.run(run())
    except Exception as exc:
        print(f"could not run: {type(exc).__name__}: {exc}", file=sys.stderr)
        sys.exit(2)
    print("rule broken" if is_broken else "rule held")
    sys.exit(BROKEN if is_broken else 0)
