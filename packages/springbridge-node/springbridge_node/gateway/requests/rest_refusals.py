"""Refuses requests whose endpoints all rest, with retry times that are spread out.

Callers that all came back at the end of the rest would be refused together again.
"""

from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.giving_up import AllResting
from springbridge.statements.returns import retry_after_s

from springbridge_node.gateway.telemetry import Telemetry


class RestRefusals:
    """Counts the requests of each service that were refused because its endpoints rest."""

    def __init__(self, registry: EndpointRegistry, telemetry: Telemetry) -> None:
        """Start without refusals."""
        self._registry = registry
        self._telemetry = telemetry
        self._refused: dict[str, int] = {}

    def refuse(self, service: str) -> AllResting | None:
        """Count a refusal and return its details; None if no endpoint of the service rests."""
        resting = self._registry.resting(service)
        if not resting:
            return None
        first_s = min(state.statements.rest.until_s for state in resting)
        before = self._refused.get(service, 0)
        self._refused[service] = before + 1
        self._telemetry.rest_refusals.inc()
        return AllResting(len(resting), retry_after_s(before, first_s - self._registry.now_s()))
