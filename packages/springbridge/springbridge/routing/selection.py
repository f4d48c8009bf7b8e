"""The endpoint for one attempt of a request, or why there is none."""

from collections.abc import Collection
from dataclasses import dataclass

from springbridge.routing.endpoint_choice import Choice, Chooser
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import Overload, overload
from springbridge.routing.records import Demand


@dataclass(frozen=True, slots=True)
class Selection:
    """What was found for a request.

    Attributes:
      choice: The endpoint, or None if no endpoint may get the request.
      overload: Why the request is refused, if its endpoints have too much; else None.
    """

    choice: Choice | None
    overload: Overload | None = None


def select(
    registry: EndpointRegistry,
    demand: Demand,
    tried: Collection[str],
    choose: Chooser,
    avoided: Collection[str] = (),
) -> Selection:
    """Return the endpoint for the next attempt.

    A request is refused for overload only before its first attempt: later it may have run.

    Args:
      tried: Ids of the endpoints that have had the request.
      avoided: Ids of further endpoints that it cannot be sent to.
    """
    if demand.prompt_parts and not tried:
        states = registry.candidates(demand.service, ())
        refusal = overload(states, demand)
        if refusal is not None:
            return Selection(None, refusal)
    states = registry.candidates(demand.service, {*tried, *avoided})
    return Selection(choose(states, demand) if states else None)


def start_notice(choice: Choice, demand: Demand, attempt_id: str) -> LoadNotice:
    """Return the notice that an attempt begins at the chosen endpoint."""
    return LoadNotice(
        LoadPhase.STARTED,
        attempt_id,
        choice.state.entry.endpoint_id,
        demand.prompt_tokens,
        demand.prompt_parts,
        choice.fetched_tokens,
    )
