"""Port: how requests and answers are encoded on the wire.

The router and the attempts work on records and HTTP heads. Header names and statuses with a special
meaning belong to the implementation, one for each platform.
"""

from dataclasses import dataclass
from typing import Protocol

from springbridge.routing.records import Admitted, Arrival, EndpointEntry
from springbridge.statements.answer_statements import NOTHING_SAID, AnswerStatements
from tornado.httputil import HTTPHeaders

from springbridge_node.gateway.callers.ingress import IncomingRequest
from springbridge_node.gateway.http.http_head import Head


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What the head of an endpoint's answer says about the attempt and the endpoint.

    Attributes:
      request_id: Id of the request that the answer belongs to, "" if the answer has none.
      not_run: The endpoint guarantees that it has not run the request and never will.
      other_endpoint: A different endpoint than the intended one now has this address.
      statements: What the endpoint states about itself.
    """

    request_id: str
    not_run: bool
    other_endpoint: bool
    statements: AnswerStatements = NOTHING_SAID


class RequestCodec(Protocol):
    """Translates between HTTP messages and the records of `springbridge.routing`."""

    def read_arrival(self, request: IncomingRequest) -> Arrival:
        """Return the fields of a request that routing needs, never its content."""

    def request_id(self, request: IncomingRequest) -> str:
        """Return the id of a request, "" if it has none."""

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
          resume_after: Id of the last event that the caller has received, or None.
        """

    def answer_metadata(self, head: Head) -> AnswerMetadata:
        """Parse the metadata in the head of an endpoint's answer."""

    def caller_headers(self, head: Head) -> HTTPHeaders:
        """Return the headers of an endpoint's answer that are relayed to the caller."""
