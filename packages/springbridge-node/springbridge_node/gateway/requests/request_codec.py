"""Port: how requests and answers are written on the wire; an interface has one implementation."""

from dataclasses import dataclass
from typing import Protocol

from springbridge.routing.records import Admitted, Arrival, EndpointEntry
from tornado.httputil import HTTPHeaders

from springbridge_node.gateway.callers.ingress import IncomingRequest
from springbridge_node.gateway.http.http_head import Head


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the head of an endpoint's answer says beyond HTTP.

    Attributes:
      request_id: The request that the answer belongs to, "" where it does not say.
      not_run: The endpoint did not run the request and never will.
      other_engine: Another endpoint has this address.
    """

    request_id: str
    not_run: bool
    other_endpoint: bool


class RequestCodec(Protocol):
    """Translates between HTTP messages and the records of routing."""

    def read_arrival(self, request: IncomingRequest) -> Arrival:
        """Return what routing has to know of a request."""

    def endpoint_request(
        self,
        request: IncomingRequest,
        admitted: Admitted,
        entry: EndpointEntry,
        source: EndpointEntry | None,
        left_s: float,
        resume_after: str | None,
    ) -> bytes:
        """Return the head of the request to an endpoint.

        Args:
          source: An endpoint to fetch what it keeps of the prompt from, or None.
          left_s: Time for which the endpoint may work.
          resume_after: The last event that the caller has got, or None.
        """

    def verdict(self, head: Head) -> Verdict:
        """Return what an endpoint's answer says of its request."""

    def caller_headers(self, head: Head) -> HTTPHeaders:
        """Return the headers of an endpoint's answer that belong to the caller."""
