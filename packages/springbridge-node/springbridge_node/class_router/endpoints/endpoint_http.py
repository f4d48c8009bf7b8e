"""Shared by the adapters of all endpoints: the HTTP client, and classification of failed calls.

An endpoint refuses a job before it starts with status 429 or 503 and the header
``Engine-Admitted: no``. Only that answer, or a connection that was never made, proves that the job
did not start. An answer that states no length ends with its connection: a reset breaks it off, and
so does the end of the endpoint's process, whose connections are closed in order. A head that the
library would read otherwise than it was meant breaks the answer as well.
"""

import asyncio
import socket
from functools import singledispatch

from springbridge.classes.entities import Endpoint
from springbridge.classes.ports import EndpointError, NotAdmittedError
from tornado.http1connection import HTTP1Connection
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httputil import HTTPHeaders, HTTPInputError, parse_response_start_line
from tornado.iostream import IOStream
from tornado.netutil import Resolver
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient, _HTTPConnection

from springbridge_node.http_rules import OLDER_VERSION, has_bare_line_feed, is_answer_status

# Timeout for connecting. Its expiry proves that the job did not start, so another endpoint may get
# the job.
CONNECT_TIMEOUT_S = 1.0
# Concurrent requests of the HTTP client. The schedulers limit what is sent to endpoints, so this
# stays above what a node is granted: 580 streams at the planned size (docs/CAPACITY.md).
MAX_CLIENTS = 5000
# Largest answer in bytes that the HTTP client accepts. The client doesn't buffer streams, so this
# only has to exceed any answer.
MAX_ANSWER_BYTES = 1 << 30
ADMITTED_HEADER = "Engine-Admitted"


class NumericResolver(Resolver):
    """Accepts IP numbers only, which avoids the thread that a name look-up needs."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple[str, int]]]:
        """Return host and port unchanged, as an IPv4 address."""
        return [(socket.AF_INET, (host, port))]


class _StrictConnection(HTTP1Connection):
    """A connection on which a broken head is an error; the library makes what it can of one."""

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        """Parse a head; see the library.

        Raises:
          HTTPInputError: It is broken.
        """
        if has_bare_line_feed(data):
            raise HTTPInputError("bare line feed")
        start, headers = super()._parse_headers(data)
        line = parse_response_start_line(start)
        if not is_answer_status(line.code):
            raise HTTPInputError("status of no answer")
        if line.version == OLDER_VERSION and "Transfer-Encoding" in headers:
            raise HTTPInputError("misplaced transfer coding")
        return start, headers


class _EndpointConnection(_HTTPConnection):
    """A request on which a reset is an error; the library takes one for the end of the body."""

    def _create_connection(self, stream: IOStream) -> HTTP1Connection:
        """Return the connection on a stream, as the library does, but a strict one."""
        plain = super()._create_connection(stream)
        return _StrictConnection(stream, True, plain.params, plain.context)

    def finish(self) -> None:
        """End the request, with an error if its connection was reset."""
        error = self.stream.error
        if error is not None:
            self._handle_exception(type(error), error, error.__traceback__)
            return
        super().finish()


class EndpointHttpClient(SimpleAsyncHTTPClient):
    """The library's HTTP client with connections to endpoints."""

    def _connection_class(self) -> type:
        return _EndpointConnection


def make_client() -> AsyncHTTPClient:
    """Return the HTTP client that all adapters of a node share."""
    return EndpointHttpClient(
        force_instance=True,
        max_clients=MAX_CLIENTS,
        max_body_size=MAX_ANSWER_BYTES,
        resolver=NumericResolver(),
    )


def url_of(endpoint: Endpoint, path: str) -> str:
    """Return the URL of a path at an endpoint."""
    return f"http://{endpoint.address}{path}"


def lacks_end(headers: HTTPHeaders) -> bool:
    """Return whether neither a length nor chunks mark the end of an answer's body."""
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


async def refuses_connections(endpoint: Endpoint) -> bool:
    """Return whether an endpoint refuses connections: its process has ended."""
    host, _, port = endpoint.address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # It is silent, or no file descriptor is left: nothing is known of its process.
        return False
    writer.close()
    return False


def fetch_error(fetch: "asyncio.Future") -> Exception | None:
    """Return the error that a finished fetch stands for, None for success."""
    if fetch.cancelled():
        return EndpointError("cancelled")
    exc = fetch.exception()
    if exc is None:
        return None
    if proves_not_started(exc):
        return NotAdmittedError(str(exc))
    return EndpointError(f"{type(exc).__name__}: {exc}")


@singledispatch
def proves_not_started(exc: BaseException) -> bool:
    """Return whether a failure proves that the job did not start."""
    return False


@proves_not_started.register
def _(exc: ConnectionRefusedError) -> bool:
    return True


@proves_not_started.register
def _(exc: HTTPTimeoutError) -> bool:
    # Tornado names the phase of the request only in the text.
    return "connecting" in str(exc) or "queue" in str(exc)


@proves_not_started.register
def _(exc: HTTPClientError) -> bool:
    return exc.response is not None and exc.response.headers.get(ADMITTED_HEADER) == "no"
