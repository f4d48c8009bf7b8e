"""Port: how a health check is addressed to one run of an endpoint, and who its answer is from.

Paths, headers and statuses belong to the implementation, one for each platform.
"""

from typing import Protocol

from springbridge.routing.records import EndpointEntry, Service
from springbridge.routing.run_signs import CheckAnswer

from springbridge_node.gateway.http.http_head import Head


class HealthCheckCodec(Protocol):
    """Translates between HTTP messages and the records of `springbridge.routing.run_signs`."""

    def health_check(self, entry: EndpointEntry, service: Service) -> bytes:
        """Return a health check that any other run than the entry's refuses."""

    def check_answer(self, head: Head) -> CheckAnswer:
        """Return what the head of an answer to a health check says of who answered."""
