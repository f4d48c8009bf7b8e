"""Port: how requests and answers are written on the wire; an interface has one implementation."""

from dataclasses import dataclass
from typing import Protocol

from springbridge.routing.records import Admitted, Arrival, EngineEntry
from tornado.httputil import HTTPHeaders

from springbridge_node.gateway.callers.ingress import IncomingRequest
from springbridge_node.gateway.http.http_head import Head


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the head of an engine's answer says beyond HTTP.

    Attributes:
      request_id: The request that the answer belongs to, "" where it does not say.
      not_run: The engine did not run the request and never will.
      other_engine: Another engine has this address.
    """

    request_id: str
    not_run: bool
    other_engine: bool


class WireFormat(Protocol):
    """Translates between HTTP messages and the records of routing."""

    def read_arrival(self, request: IncomingRequest) -> Arrival:
        """Return what routing has to know of a request."""

    def engine_request(
        self,
        request: IncomingRequest,
        admitted: Admitted,
        entry: EngineEntry,
        source: EngineEntry | None,
        left_s: float,
        resume_after: str | None,
    ) -> bytes:
        """Return the head of the request to an engine.

        Args:
          source: An engine to fetch what it keeps of the prompt from, or None.
          left_s: Time for which the engine may work.
          resume_after: The last event that the caller has got, or None.
        """

    def verdict(self, head: Head) -> Verdict:
        """Return what an engine's answer says of its request."""

    def caller_headers(self, head: Head) -> HTTPHeaders:
        """Return the headers of an engine's answer that belong to the caller."""
