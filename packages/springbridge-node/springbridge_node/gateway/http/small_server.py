"""Server for an instance's small HTTP interfaces: readiness, directory, peers and metrics.

Each interface maps paths to handlers, which answer from memory at once, so that none of them blocks
the event loop. None has a use for a body.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPMethod
from urllib.parse import parse_qsl, urlsplit

from springbridge.instance_limits import ListenerKind
from springbridge.problems import Problem
from springbridge.routing.records import CallerLimits
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, StreamClosedError

from springbridge_node import clock, logs
from springbridge_node.gateway.inbound.answer_writer import AnswerWriter
from springbridge_node.gateway.inbound.connection import InboundConnection
from springbridge_node.gateway.inbound.intake import Intake
from springbridge_node.gateway.inbound.listener import Listener
from springbridge_node.gateway.inbound.refusals import RefusalKind
from springbridge_node.gateway.inbound.request_head import RequestHead

# Content types. TEXT is the one that Prometheus expects for its text format.
JSON = "application/json"
TEXT = "text/plain; version=0.0.4"
# Largest body, which is discarded; and how long a connection may stay idle, in seconds.
LIMITS = CallerLimits(body_bytes=64 << 10, idle_timeout_s=60.0)
# Seconds within which a body has to arrive.
BODY_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer of a small interface."""

    status: int
    body: bytes = b""
    content_type: str = JSON


@dataclass(frozen=True, slots=True)
class ConnectRequest:
    """A request with method CONNECT, which takes over its connection.

    Attributes:
      target: IP number and port to connect to.
      remote_ip: IP number of the sender.
    """

    target: str
    headers: HTTPHeaders
    remote_ip: str
    stream: IOStream


Handler = Callable[[dict[str, str]], Reply]
ConnectHandler = Callable[[ConnectRequest], None]


@dataclass(frozen=True)
class SmallInterface:
    """What a small interface answers.

    Attributes:
      handlers: A handler for each path; it gets the parameters of the query.
      on_connect: Takes over the requests with method CONNECT; None if there are none.
      commands: Handlers that change something, for requests with method POST alone.
    """

    handlers: Mapping[str, Handler]
    on_connect: ConnectHandler | None = None
    commands: Mapping[str, Handler] = field(default_factory=dict)


def serve_small(
    address: str, kind: ListenerKind, interface: SmallInterface, intake: Intake
) -> None:
    """Serve a small interface, unless its address is empty in the settings."""
    if address:
        SmallServer(kind, interface, intake).listen(address)


class SmallServer:
    """Answers requests by path.

    Attributes:
      limits: What a client may send, and how long it may take.
    """

    def __init__(self, kind: ListenerKind, interface: SmallInterface, intake: Intake) -> None:
        """Start without a socket; listen() starts to serve."""
        self.limits = LIMITS
        self._kind = kind
        self._interface = interface
        self._intake = intake
        self._listener = Listener(kind, self, intake)

    def listen(self, address: str) -> None:
        """Accept connections at an address."""
        self._listener.listen(address)

    def decide(self, head: RequestHead) -> Problem | float:
        """Return until when a body may arrive, on the monotonic clock."""
        return clock.now_s() + BODY_TIMEOUT_S

    async def serve(
        self, conn: InboundConnection, head: RequestHead, body: bytes | memoryview
    ) -> None:
        """Answer one request; see connection_loop.RequestService."""
        if self._interface.on_connect is not None and head.method == HTTPMethod.CONNECT:
            request = ConnectRequest(head.target, head.headers, conn.remote_ip, conn.detach())
            self._interface.on_connect(request)
            return
        await _answer(conn, head, self._guarded_reply(head))

    async def refuse(
        self, conn: InboundConnection, head: RequestHead | None, problem: Problem
    ) -> None:
        """Answer a request that was not read completely; see connection_loop.RequestService."""
        await _answer(conn, head, Reply(problem.info.http_status))

    def report(self, conn: InboundConnection, head: RequestHead | None, kind: RefusalKind) -> None:
        """Count and log that a request was not read to its end."""
        self._intake.report(self._kind, kind, conn.remote_ip)

    def _guarded_reply(self, head: RequestHead) -> Reply:
        """Return the reply to a request; 500 if an unforeseen exception is met, which is logged."""
        try:
            return self._reply(head)
        except Exception as exc:
            logs.fault(exc, "small interface")
            return Reply(500)

    def _reply(self, head: RequestHead) -> Reply:
        """Return the reply of the handler of a path, 404 if there is none, 400 if it is no path."""
        try:
            url = urlsplit(head.target)
        except ValueError:
            # Not logged: any stranger may send this.
            return Reply(400)
        handlers, commands = self._interface.handlers, self._interface.commands
        if url.path in commands:
            handlers = commands if head.method == HTTPMethod.POST else {}
        handler = handlers.get(url.path)
        return handler(dict(parse_qsl(url.query))) if handler else Reply(404)


async def _answer(conn: InboundConnection, head: RequestHead | None, reply: Reply) -> None:
    """Write a complete answer."""
    headers = HTTPHeaders(
        {"Content-Type": reply.content_type, "Content-Length": str(len(reply.body))}
    )
    try:
        await AnswerWriter(conn, head).start(reply.status, "", headers, reply.body)
    except StreamClosedError:
        # There is nobody to answer.
        return
