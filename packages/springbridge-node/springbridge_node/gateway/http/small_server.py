"""Server for an instance's small HTTP interfaces: readiness, directory, peers and metrics.

Each interface maps paths to handlers, which answer from memory at once, so that none of them blocks
the event loop.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from urllib.parse import parse_qsl, urlsplit

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine, responses

from springbridge_node import logs

# Content types. TEXT is the one that Prometheus expects for its text format.
JSON = "application/json"
TEXT = "text/plain; version=0.0.4"


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer of a small interface."""

    status: int
    body: bytes = b""
    content_type: str = JSON


Handler = Callable[[dict[str, str]], Reply]
ConnectHandler = Callable[[HTTPServerRequest], None]


def serve_small(
    address: str,
    handlers: Mapping[str, Handler],
    on_connect: ConnectHandler | None = None,
    commands: Mapping[str, Handler] = MappingProxyType({}),
) -> None:
    """Serve a small interface, unless its address is empty in the settings.

    Args:
      on_connect: Takes over the requests with method CONNECT; None if there are none.
      commands: Handlers that change something, for requests with method POST alone.
    """
    if address:
        SmallServer(handlers, on_connect, commands).listen(address)


class SmallServer:
    """Answers requests by path; a handler gets the query's parameters."""

    def __init__(
        self,
        handlers: Mapping[str, Handler],
        on_connect: ConnectHandler | None = None,
        commands: Mapping[str, Handler] = MappingProxyType({}),
    ) -> None:
        """Store the handler of each path; listen() starts to serve."""
        self._handlers = handlers
        self._commands = commands
        self._on_connect = on_connect
        self._server = HTTPServer(self._serve)

    def listen(self, address: str) -> None:
        """Accept connections at an address."""
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host)

    def _serve(self, request: HTTPServerRequest) -> None:
        """Answer one request."""
        if self._on_connect is not None and request.method == "CONNECT":
            self._on_connect(request)
            return
        reply = self._guarded_reply(request)
        headers = HTTPHeaders(
            {"Content-Type": reply.content_type, "Content-Length": str(len(reply.body))}
        )
        line = ResponseStartLine("HTTP/1.1", reply.status, responses[reply.status])
        request.connection.write_headers(line, headers, reply.body or None)
        request.connection.finish()

    def _guarded_reply(self, request: HTTPServerRequest) -> Reply:
        """Return the reply to a request; 500 if an unforeseen exception is met, which is logged."""
        try:
            return self._reply(request)
        except Exception as exc:
            logs.fault(exc, "small interface")
            return Reply(500)

    def _reply(self, request: HTTPServerRequest) -> Reply:
        """Return the reply of the handler of a path, 404 if there is none, 400 if it is no path."""
        try:
            url = urlsplit(request.uri)
        except ValueError:
            # Not logged: any stranger may send this.
            return Reply(400)
        handlers = self._commands if url.path in self._commands else self._handlers
        if handlers is self._commands and request.method != "POST":
            handlers = {}
        handler = handlers.get(url.path)
        return handler(dict(parse_qsl(url.query))) if handler else Reply(404)
