"""The endpoint for one attempt of a request, or why there is none.

Decided: a choice, a refusal for overload, or neither if no endpoint may get the request.
Inputs: the registry, the request's demand, the ids of the endpoints that had it, and who chooses.
Outcome: a Selection. Overload is checked before the first attempt only: later the request may have
run, and a refusal would promise the caller that it has not.
Why: one order of steps for an instance that chooses itself and for a coordinator that chooses for
others: overload.py, then eligibility.py, then endpoint_choice.py. The numbers stand there.
"""

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
      overload: Why the request is refused if its endpoints have too much to do, else None.
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
) -> Selection:
    """Return the endpoint for the next attempt.

    Args:
      tried: Ids of the endpoints that had the request.
      avoided: Ids of the endpoints that another instance, which asks, cannot use. They count in the
        check for overload.
      held_back: Ids of the endpoints whose rate is spent. They count nowhere: what they could take
        beside their rate is of no use.
    """
    if demand.prompt_parts and not tried:
        refusal = overload(registry.candidates(demand.service, held_back), demand)
        if refusal is not None:
            return Selection(None, refusal)
    states = registry.candidates(demand.service, {*tried, *avoided, *held_back})
    if not states:
        return Selection(None)
    leaving = registry.leaving(demand.service)
    return Selection(choose(states, demand, registry.now_s(), leaving))


def start_notice(choice: Choice, demand: Demand, attempt_id: str) -> LoadNotice:
    """Return the notice that an attempt starts at the chosen endpoint."""
    return LoadNotice(
        LoadPhase.STARTED,
        attempt_id,
        choice.state.entry.endpoint_id,
        demand.prompt_tokens,
        demand.prompt_parts,
        choice.fetched_tokens,
    )
