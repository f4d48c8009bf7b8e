"""Stand-ins of the platform, of engines and of clients for the review's scripts.

They speak what PROTOCOL.md says and need nothing but Python's own library. Every address is a
loopback address; each gateway gets an IP of its own, since its ports are alike on all machines.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(os.environ.get("REVIEW_ROOT", "."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Seconds after which a script gives up.
MAX_RUN_S = 112.0
# Beats of an engine after which a silent one is no longer listed, and seconds between two.
BEATS, BEAT_S = 3, 1.2
KEY, TENANT, HOST = "n2ctnfzs989anu6wsjnb", "hule930", "ficu95.example"

SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "registry", "control"]
ip = "{ip}"
zone = "{zone}"
region = "perth"
internalPorts = [{gossip}, {gossip_end}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
failClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 54
recoveryS = 12
passMs = 120
retryAfterS = 10
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
"""


@dataclass
class Message:
    """A request or an answer as it was read; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def request_id(self) -> str:
        """Return the id of a request, or the one that an answer carries back."""
        return self.headers.get("request-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read start line and headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, found: Message) -> None:
    """Read the body of a message; one that breaks off is marked as not whole."""
    body = bytearray()
    try:
        if found.headers.get("transfer-encoding") == "chunked":
            while length := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(length + 2))[:-2]
            await reader.readexactly(2)
        else:
            body += await reader.readexactly(int(found.headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as exc:
        body += exc.partial
        found.whole = False
    except (ConnectionError, ValueError):
        found.whole = False
    found.body = bytes(body)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a request or an answer."""
    found = await read_head(reader)
    await read_body(reader, found)
    return found


def message(start: str, body: bytes | None = b"", **headers: str) -> bytes:
    """Return a message as bytes; header names are given with underscores.

    Args:
      body: None for one whose body follows later.
    """
    if body is not None:
        headers["Content_Length"] = str(len(body))
    lines = [start] + [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


def chunk(data: bytes) -> bytes:
    """Return data as a chunk, the last one if there are none."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class Record:
    """What was sent, answered and run, in the order in which the stand-ins saw it."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._path = path
        self._began_s = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line with the seconds since the beginning."""
        self.lines.append(f"{time.monotonic() - self._began_s:9.3f} {text}")

    def write(self) -> None:
        """Write the record."""
        self._path.write_text("\n".join(self.lines) + "\n")


Respond = Callable[[Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(respond: Respond, ip: str, port: int = 0, backlog: int = 100) -> asyncio.Server:
    """Serve HTTP at an address, one request after another on each connection."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        expected = (asyncio.IncompleteReadError, OSError, asyncio.CancelledError)
        with contextlib.suppress(*expected):
            while not writer.is_closing():
                await respond(await read_message(reader), reader, writer)
        writer.close()

    return await asyncio.start_server(handle, ip, port, backlog=backlog)


def address_of(server: asyncio.Server) -> str:
    """Return the address of a server as IP:PORT."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


@dataclass
class _Row:
    table: str
    key: str
    value: bytes
    ver: int
    gone: bool = False

    def fields(self) -> dict:
        """Return the row as answers have it."""
        row = {"table": self.table, "part": "", "key": self.key, "ver": self.ver}
        if self.gone:
            return row | {"gone": True}
        return row | {"value": base64.b64encode(self.value).decode()}


class Store:
    """The platform's store: rows, transactions and the feed."""

    def __init__(self) -> None:
        """Start without rows."""
        self.address = ""
        self.ver = 0
        self._rows: dict[tuple[str, str], _Row] = {}

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self.address = address_of(await serve(self._respond, ip))

    def put(self, table: str, key: str, document: dict) -> None:
        """Write a row as the operator or an engine does."""
        self._change([(table, key, json.dumps(document).encode())], [])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._change([], [(table, key)])

    def _change(self, put: list, remove: list) -> None:
        self.ver += 1
        for table, key, value in put:
            self._rows[table, key] = _Row(table, key, value, self.ver)
        for table, key in remove:
            if (table, key) in self._rows:
                self._rows[table, key] = _Row(table, key, b"", self.ver, gone=True)

    async def _respond(self, request: Message, reader, writer) -> None:
        await asyncio.sleep(0.004)
        url = urlsplit(request.target)
        status, body = await self._execute(url.path, dict(parse_qsl(url.query)), request.body)
        body |= {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
        raw = json.dumps(body).encode()
        writer.write(message(f"HTTP/1.1 {status} -", raw, Content_Type="application/json"))
        await writer.drain()

    async def _execute(self, path: str, query: dict, raw: bytes) -> tuple[int, dict]:
        if path == "/v1/rows-get":
            return 200, {"rows": self._found(query["table"], -1), "more": False}
        if path == "/v1/rows-feed":
            table, since = query["table"], int(query["sinceRevision"])
            end_s = time.monotonic() + int(query["waitMs"]) / 1000
            while not self._found(table, since) and time.monotonic() < end_s:
                await asyncio.sleep(0.01)
            return 200, {"rows": self._found(table, since)}
        if path == "/v1/rows-tx":
            asked = json.loads(raw)
            for row in asked["expectedRevision"]:
                known = self._rows.get((row["table"], row["key"]))
                if row["ver"] != (known.ver if known and not known.gone else 0):
                    return 412, {"rows": [known.fields()] if known else []}
            rows = [
                (row["table"], row["key"], base64.b64decode(row["value"])) for row in asked["put"]
            ]
            self._change(rows, [(row["table"], row["key"]) for row in asked["remove"]])
            return 200, {}
        return 404, {}

    def _found(self, table: str, since: int) -> list[dict]:
        rows = [row for row in self._rows.values() if row.table == table and row.ver > since]
        return [row.fields() for row in rows if since >= 0 or not row.gone]


def engine_row(service: str, address: str, slots: int, state: str, beat: int) -> dict:
    """Return the entry of an engine."""
    return {
        "service": service,
        "address": address,
        "zone": "perth-a",
        "version": "v1",
        "slots": slots,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": beat,
    }


def configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 360} for name in services
        ],
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def route(name: str, kind: str, service: str, timeout_ms: int, attempts: int, **more) -> dict:
    """Return a route of the path /NAME/."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 200,
        "maxAttempts": attempts,
        "priority": 1,
    } | more


@dataclass
class Gateway:
    """One gateway: the project's own program, as a process of its own."""

    name: str
    ip: str
    ports: dict[str, int]
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{self.ports['front']}"

    async def start(self) -> None:
        """Start the program as deploy/system.toml says."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"SPRINGBRIDGE_SETTINGS": str(self.settings), "PYTHONPATH": "target/deps"}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "target/app/node.py", cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether it answers its readiness check with 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
                writer.write(message("GET /v1/readyz HTTP/1.1", Host="ready"))
                found = await read_message(reader)
                writer.close()
                return found.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, most_s: float = 15.0) -> bool:
        """Wait until it is ready, and return whether it is."""
        end_s = time.monotonic() + most_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


@dataclass
class Deployment:
    """A small deployment: the store and some gateways."""

    record: Record
    folder: Path
    net: str
    store: Store = field(default_factory=Store)
    gateways: list[Gateway] = field(default_factory=list)

    async def start(self, count: int, config: dict) -> bool:
        """Write the configuration, start the gateways, and return whether all are ready."""
        await self.store.start(f"{self.net}.250")
        self.store.put("op", "config", config)
        names = ("front", "ready", "control", "directory", "gossip")
        ips = [f"{self.net}.{number + 1}" for number in range(count)]
        ports = dict(zip(names, free_ports(ips, len(names)), strict=True))
        for number, ip in enumerate(ips):
            settings = self.folder / f"edge-{number + 1}.toml"
            settings.write_text(
                SETTINGS.format(
                    name=f"edge-{number + 1}",
                    ip=ip,
                    zone="perth-a",
                    seeds=", ".join(f'"{each}:{ports["control"]}"' for each in ips[:3]),
                    store=self.store.address,
                    gossip_end=ports["gossip"],
                    **ports,
                )
            )
            log = self.folder / f"edge-{number + 1}.log"
            self.gateways.append(Gateway(f"edge-{number + 1}", ip, ports, settings, log))
        for each in self.gateways:
            await each.start()
        return all([await each.wait_ready() for each in self.gateways])

    async def end(self) -> None:
        """End all gateways."""
        for each in self.gateways:
            each.signal(signal.SIGCONT)
            each.signal(signal.SIGKILL)
            if each.process is not None:
                await each.process.wait()

    def faults(self) -> list[str]:
        """Return the faults that the gateways logged."""
        return [
            f"{each.name}: {line[:300]}"
            for each in self.gateways
            if each.log.exists()
            for line in each.log.read_text(errors="replace").splitlines()
            if "fault" in line or "Traceback" in line
        ]


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at all of some IPs."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20000, 30000)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for ip, kind in itertools.product(ips, (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
                sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                sock.bind((ip, port))
            if port not in found:
                found.append(port)
    return found


class Client:
    """A client that keeps its connection for many requests.

    Attributes:
      closed: Ids of the requests whose connection the gateway ended without an answer.
      closed_kept: Those of them that were not the first on their connection.
    """

    _numbers = itertools.count(1)

    def __init__(self, front: str, record: Record) -> None:
        """Begin without a connection to the address of a gateway."""
        self.front = front
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._is_kept = False
        self.closed: list[str] = []
        self.closed_kept: list[str] = []

    async def ask(
        self, path: str, deadline_ms: int, method: str = "POST", body: bytes = b"{}", **headers: str
    ) -> tuple[str, Message | None]:
        """Send a request, on the kept connection if there is one.

        Returns:
          Its id, and its answer; None if none came.
        """
        request_id = f"{random.getrandbits(32):08x}{next(self._numbers):08x}"
        try:
            if self._streams is None:
                host, _, port = self.front.rpartition(":")
                async with asyncio.timeout(1):
                    self._streams = await asyncio.open_connection(host, int(port))
            reader, writer = self._streams
            self._record.note(f"sent     {request_id} {method} {path}")
            writer.write(
                message(
                    f"{method} {path} HTTP/1.1",
                    body,
                    Host=HOST,
                    Request_Id=request_id,
                    Deadline_Ms=str(deadline_ms),
                    Authorization=f"Bearer {KEY}",
                    **headers,
                )
            )
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                found = await read_message(reader)
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as exc:
            self._record.note(f"answered {request_id} nothing: {type(exc).__name__}")
            if self._streams is not None and not isinstance(exc, TimeoutError):
                self.closed.append(request_id)
                self.closed_kept += [request_id] if self._is_kept else []
            self.close()
            return request_id, None
        whole = "whole" if found.whole else "cut short"
        signature = found.headers.get("response-signature", "none")
        self._record.note(
            f"answered {request_id} {found.status}, signature {signature}, {whole},"
            f" {len(found.body)} bytes"
        )
        self._is_kept = True
        if not found.whole or found.headers.get("connection", "").lower() == "close":
            self.close()
        return request_id, found

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams, self._is_kept = None, False


class Engine:
    """An engine of a plain service.

    Attributes:
      ran_soundly: Ids of the requests that it has answered, whether with success or with its 500.
    """

    def __init__(
        self, store: Store, record: Record, service: str, slots: int, work_s: float, fails: float
    ) -> None:
        """Begin without an address.

        Args:
          fails: Share of the requests that it answers with its own 500.
        """
        self.engine_id = f"i-{random.getrandbits(40):010x}"
        self.ran_soundly: set[str] = set()
        self._store, self._record, self._service = store, record, service
        self._slots, self._work_s, self._fails = slots, work_s, fails
        self._busy = asyncio.Semaphore(slots)
        self._waiting = 0
        self._is_dark = False
        self._sock = socket.socket()
        self._tasks: list[asyncio.Task] = []
        self._open: list[asyncio.Task] = []
        self._fillers: list[socket.socket] = []

    async def start(self, ip: str) -> None:
        """Listen on a free port, and be listed from now on."""
        self._sock.setblocking(False)
        self._sock.bind((ip, 0))
        self._sock.listen(16)
        self._tasks = [asyncio.ensure_future(self._accept()), asyncio.ensure_future(self._beat())]

    def go_dark(self) -> None:
        """Say nothing any more: answer nothing, and let no new connection come up."""
        self._is_dark = True
        for task in self._tasks:
            task.cancel()
        address = self._sock.getsockname()
        for _ in range(24):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self._fillers.append(filler)
        self._record.note(f"dark     {self.engine_id}")
        self._lapsing = asyncio.ensure_future(self._lapse())

    def end(self) -> None:
        """End: what was open is closed, and the address refuses connections."""
        for task in [*self._tasks, *self._open]:
            task.cancel()
        for sock in [*self._fillers, self._sock]:
            sock.close()

    async def _lapse(self) -> None:
        await asyncio.sleep(BEATS * BEAT_S)
        self._store.remove("servers", self.engine_id)
        self._record.note(f"unlisted {self.engine_id}")

    async def _beat(self) -> None:
        host, port = self._sock.getsockname()
        for beat in itertools.count(1):
            row = engine_row(self._service, f"{host}:{port}", self._slots, "ready", beat)
            self._store.put("servers", self.engine_id, row)
            await asyncio.sleep(BEAT_S)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            streams = await asyncio.open_connection(sock=sock)
            self._open.append(asyncio.ensure_future(self._handle(*streams)))

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        expected = (asyncio.IncompleteReadError, OSError, asyncio.CancelledError)
        with contextlib.suppress(*expected):
            while True:
                request = await read_message(reader)
                answer = await self._answer(request)
                if self._is_dark:
                    await asyncio.Event().wait()
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        carried = {"Request_Id": request.request_id}
        if request.headers.get("expected-instance", self.engine_id) != self.engine_id:
            return message("HTTP/1.1 421 -", Not_Executed="1", **carried)
        if self._busy.locked() and self._waiting >= 4 * self._slots:
            return message("HTTP/1.1 503 -", Not_Executed="1", **carried)
        self._waiting += 1
        async with self._busy:
            self._waiting -= 1
            self._record.note(f"run      {request.request_id} at {self.engine_id}")
            await asyncio.sleep(self._work_s)
        if not self._is_dark:
            self.ran_soundly.add(request.request_id)
        carried["Response_Signature"] = f"{self.engine_id}.{request.request_id}"
        if random.random() < self._fails:
            return message("HTTP/1.1 500 -", b"failed", **carried)
        return message("HTTP/1.1 200 OK", b"x" * 800, **carried)


class EngineProcess:
    """A model engine in a process of its own, and its entry in the store."""

    def __init__(
        self, deployment: "Deployment", number: int, service: str, framing: str, pace_s: float
    ) -> None:
        """Begin without a process; see stream_engine.py."""
        self.engine_id = f"i-{random.getrandbits(40):010x}"
        self._ip = f"{deployment.net}.{100 + number}"
        self._deployment, self._service = deployment, service
        self._arguments = (framing, str(pace_s))
        self._log = deployment.folder / f"{self.engine_id}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._beats: asyncio.Task | None = None
        self._row: dict = {}

    async def start(self) -> None:
        """Start the process, and be listed from now on."""
        address = f"{self._ip}:{free_ports([self._ip], 1)[0]}"
        program = str(Path(__file__).with_name("stream_engine.py"))
        arguments = (program, address, self.engine_id, str(self._log), *self._arguments)
        self._process = await asyncio.create_subprocess_exec("python3", *arguments)
        await asyncio.sleep(0.5)
        self._row = engine_row(self._service, address, 64, "ready", 0)
        self._beats = asyncio.ensure_future(self._beat())

    async def _beat(self) -> None:
        while True:
            self._row["sequence"] += 1
            self._deployment.store.put("servers", self.engine_id, self._row)
            await asyncio.sleep(BEAT_S)

    async def leave(self, drain_s: float) -> None:
        """Say draining, serve on, and end as planned."""
        store, record = self._deployment.store, self._deployment.record
        self._row["state"] = "draining"
        store.put("servers", self.engine_id, self._row)
        record.note(f"draining {self.engine_id}")
        await asyncio.sleep(drain_s)
        self._beats.cancel()
        self.signal(signal.SIGTERM)
        await self._process.wait()
        record.note(f"ended    {self.engine_id}")
        store.remove("servers", self.engine_id)

    async def crash(self) -> None:
        """End without a word; the entry lapses."""
        self._beats.cancel()
        self.signal(signal.SIGKILL)
        await self._process.wait()
        self._deployment.record.note(f"crashed  {self.engine_id}")
        asyncio.get_running_loop().call_later(
            BEATS * BEAT_S, self._deployment.store.remove, "servers", self.engine_id
        )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process if it still runs, and copy what it logged into the record."""
        self.signal(signal.SIGKILL)
        if self._log.exists():
            for line in self._log.read_text().splitlines():
                self._deployment.record.note(f"engine's log: {line}")


Case = Callable[[Deployment], Awaitable[int]]


def run_case(case: Case, record_file: Path) -> None:
    """Run a case in a temporary folder, write its record, and exit with its result."""
    record = Record(record_file)
    record.note(f"trouble: {'yes' if TROUBLE else 'no'}")
    result = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        deployment = Deployment(record, Path(temporary), net)
        try:
            result = asyncio.run(_run(case, deployment))
        except (Exception, asyncio.CancelledError) as exc:
            record.note(f"could not run: {type(exc).__name__}: {exc}")
        for line in deployment.faults()[:5]:
            record.note(f"log of {line}")
    record.note(f"exit {result}")
    record.write()
    print("\n".join(record.lines[-6:]))
    sys.exit(result)


async def _run(case: Case, deployment: Deployment) -> int:
    # Whoever ends this program has it end what it started.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(MAX_RUN_S):
            return await case(deployment)
    finally:
        await deployment.end()
