"""The request and the reply by which a peer is asked to connect to an endpoint.

The request is an HTTP CONNECT on the address for peers. After a reply of 200 the connection carries
the bytes of the connection to the endpoint. Any other reply names a result, so that the instance
that asked can tell an endpoint that is down from a peer that cannot help.
"""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from springbridge.routing.records import EndpointEntry
from tornado.httputil import HTTPHeaders

METHOD = "CONNECT"
ENDPOINT_HEADER = "Endpoint-Id"
INCARNATION_HEADER = "Incarnation"
RESULT_HEADER = "Tunnel-Result"
# Says what a tunnel is for. Builds that do not know it open tunnels for requests alone.
PURPOSE_HEADER = "Tunnel-Purpose"
# Says how a tunnel ends; MARKED: in order only where the endpoint ended its connection so. Builds
# without this header end a tunnel in order whenever their process ends.
END_HEADER = "Tunnel-End"
MARKED = "marked"


class TunnelResult(Enum):
    """How a peer's connection attempt ended; the values are sent and logged and must not change.

    OPEN: The connection is up. REFUSED: The endpoint's host refused it. UNREACHED: It did not come
    up in time. NO_PATH: The peer has lost its own path to the endpoint, and knows nothing of the
    endpoint. EXCLUDED: The endpoint gets no request from the peer, as it leaves or rests, or the
    peer does not know it. FULL: The peer has all tunnels that it may have. LEAVING: The peer stops.
    STRANGER: The request did not come from a member. UNSUPPORTED: The peer's build has no tunnels.
    SILENT: The peer did not answer.
    """

    OPEN = "open"
    REFUSED = "refused"
    UNREACHED = "unreached"
    NO_PATH = "no path"
    EXCLUDED = "excluded"
    FULL = "full"
    LEAVING = "leaving"
    STRANGER = "stranger"
    UNSUPPORTED = "unsupported"
    SILENT = "silent"


class Purpose(Enum):
    """What a tunnel is for; the values are sent and must not change.

    REQUESTS: Requests of callers, so that an endpoint which leaves or rests gets no tunnel. CHECK:
    A health check, which any endpoint may get.
    """

    REQUESTS = "requests"
    CHECK = "check"


STATUSES = {
    TunnelResult.OPEN: HTTPStatus.OK,
    TunnelResult.REFUSED: HTTPStatus.BAD_GATEWAY,
    TunnelResult.UNREACHED: HTTPStatus.GATEWAY_TIMEOUT,
    TunnelResult.NO_PATH: HTTPStatus.SERVICE_UNAVAILABLE,
    TunnelResult.EXCLUDED: HTTPStatus.NOT_FOUND,
    TunnelResult.FULL: HTTPStatus.TOO_MANY_REQUESTS,
    TunnelResult.LEAVING: HTTPStatus.SERVICE_UNAVAILABLE,
    TunnelResult.STRANGER: HTTPStatus.FORBIDDEN,
}
# Results that tell something of the endpoint: the peer tried to connect just now.
EVIDENCE = frozenset({TunnelResult.REFUSED, TunnelResult.UNREACHED})


@dataclass(frozen=True, slots=True)
class TunnelRequest:
    """A request for a tunnel.

    Attributes:
      address: IP number and port of the endpoint.
      incarnation: Incarnation of the instance that asks.
    """

    endpoint_id: str
    address: str
    incarnation: str
    purpose: Purpose = Purpose.REQUESTS


def request_head(
    entry: EndpointEntry, incarnation: str, purpose: Purpose = Purpose.REQUESTS
) -> bytes:
    """Return the head of a request for a tunnel to an endpoint.

    Args:
      incarnation: Incarnation of this instance.
    """
    lines = [
        f"{METHOD} {entry.address} HTTP/1.1",
        f"Host: {entry.address}",
        f"{ENDPOINT_HEADER}: {entry.endpoint_id}",
        f"{INCARNATION_HEADER}: {incarnation}",
        f"{PURPOSE_HEADER}: {purpose.value}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def read_request(target: str, headers: HTTPHeaders) -> TunnelRequest:
    """Return the request in a CONNECT; fields that are missing are empty.

    A purpose that is missing or unknown counts as that of requests.
    """
    is_check = headers.get(PURPOSE_HEADER, "") == Purpose.CHECK.value
    return TunnelRequest(
        headers.get(ENDPOINT_HEADER, ""),
        target,
        headers.get(INCARNATION_HEADER, ""),
        Purpose.CHECK if is_check else Purpose.REQUESTS,
    )


def reply_head(result: TunnelResult) -> bytes:
    """Return the head of a reply; it has no body."""
    status = STATUSES[result]
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", f"{RESULT_HEADER}: {result.value}"]
    if result is TunnelResult.OPEN:
        lines += [f"{END_HEADER}: {MARKED}"]
    else:
        lines += ["Content-Length: 0", "Connection: close"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def marks_end(headers: HTTPHeaders) -> bool:
    """Return whether a peer ends its tunnel in order only where the endpoint did, by its reply."""
    return headers.get(END_HEADER, "") == MARKED


def read_result(headers: HTTPHeaders) -> TunnelResult:
    """Return the result in a reply; a peer that names none, or an unknown one, has no tunnels."""
    try:
        return TunnelResult(headers.get(RESULT_HEADER, ""))
    except ValueError:
        return TunnelResult.UNSUPPORTED
