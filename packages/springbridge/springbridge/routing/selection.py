"""Selection: the endpoint for one attempt of a request, or why there is none.

Combines overload.py, eligibility.py, ending_versions.py and endpoint_choice.py in this order, both
for an instance that chooses itself and for a coordinator that chooses for others.
Inputs: the registry, the request's demand, the ids of the endpoints already tried, and the function
that chooses.
Result: a Selection with a choice, a refusal for overload, or neither if no endpoint is eligible.
Overload is checked only before the first attempt: later the request may have run, and a refusal
would guarantee to the caller that it has not. A stream that has to go on at some version is not
refused for overload: its caller has a part already, and only endpoints of that version can give the
rest, while a new request may begin anywhere.
"""

from collections.abc import Collection
from dataclasses import dataclass

from springbridge.routing.ending_versions import without_ending_versions
from springbridge.routing.endpoint_choice import Choice, Chooser
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import Overload, overload
from springbridge.routing.records import Demand


@dataclass(frozen=True, slots=True)
class Selection:
    """Result of the selection for one attempt.

    Attributes:
      choice: The chosen endpoint, or None if no endpoint is eligible or the request is refused.
      overload: The overload for which the request is refused, else None.
    """

    choice: Choice | None
    overload: Overload | None = None


def select(
    registry: EndpointRegistry,
    demand: Demand,
    tried: Collection[str],
    choose: Chooser,
    avoided: Collection[str] = (),
    held_back: Collection[str] = (),
    version: str | None = None,
) -> Selection:
    """Return the endpoint for the next attempt, or a refusal.

    Args:
      tried: Ids of the endpoints that were already tried.
      choose: Chooses among the eligible endpoints.
      avoided: Ids of the endpoints that the requesting instance excludes, if this one chooses for
        another. They still count in the check for overload.
      held_back: Ids of the endpoints whose rate is exhausted. They do not count in the check for
        overload either, as their free capacity cannot be used.
      version: Version at which a stream has to go on; None for a request that any may serve.
    """
    if demand.prompt_parts and not tried and version is None:
        refusal = overload(registry.candidates(demand.service, held_back), demand)
        if refusal is not None:
            return Selection(None, refusal)
    states = registry.candidates(demand.service, {*tried, *avoided, *held_back}, version)
    if not states:
        return Selection(None)
    leaving = registry.leaving(demand.service)
    if version is None:
        states = without_ending_versions(states, leaving, demand, registry.now_s())
    return Selection(choose(states, demand, registry.now_s(), leaving))


def start_notice(choice: Choice, demand: Demand, attempt_id: str) -> LoadNotice:
    """Return the load notice that reports the start of an attempt at the chosen endpoint."""
    return LoadNotice(
        LoadPhase.STARTED,
        attempt_id,
        choice.state.entry.endpoint_id,
        demand.prompt_tokens,
        demand.prompt_parts,
        choice.fetched_tokens,
    )
