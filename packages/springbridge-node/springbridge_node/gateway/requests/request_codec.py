"""Port: how requests and answers are written on the wire.

The router and the attempts speak records and HTTP heads; header names and statuses with a meaning
of their own belong to the implementation, one for each platform.
"""

from dataclasses import dataclass
from typing import Protocol

from springbridge.routing.records import Admitted, Arrival, EndpointEntry
from springbridge.statements.answer_statements import NOTHING_SAID, AnswerStatements
from tornado.httputil import HTTPHeaders

from springbridge_node.gateway.callers.ingress import IncomingRequest
from springbridge_node.gateway.http.http_head import Head


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the head of an endpoint's answer says about the attempt.

    Attributes:
      request_id: The request that the answer belongs to, "" where it does not say.
      not_run: The endpoint promises that it has not run the request and never will.
      other_endpoint: Another endpoint than the one meant has this address now.
      statements: What the answer says of its endpoint.
    """

    request_id: str
    not_run: bool
    other_endpoint: bool
    statements: AnswerStatements = NOTHING_SAID


class RequestCodec(Protocol):
    """Translates between HTTP messages and the records of `springbridge.routing`."""

    def read_arrival(self, request: IncomingRequest) -> Arrival:
        """Return what routing has to know of a request, never its content."""

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
          source: Endpoint whose cache holds more of the prompt, to fetch that from, or None.
          left_s: Time left to the request's deadline, in seconds.
          resume_after: Id of the last event that the caller has got, or None.
        """

    def verdict(self, head: Head) -> Verdict:
        """Return what the head of an endpoint's answer says about the attempt."""

    def caller_headers(self, head: Head) -> HTTPHeaders:
        """Return the headers of an endpoint's answer that the caller gets."""
