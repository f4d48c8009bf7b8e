"""The engine for one attempt of a request, or why there is none."""

from collections.abc import Collection
from dataclasses import dataclass

from springbridge.routing.endpoint_choice import Choice, Chooser
from springbridge.routing.endpoint_registry import EngineBoard
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import Overload, overload
from springbridge.routing.records import Demand


@dataclass(frozen=True, slots=True)
class Selection:
    """What was found for a request.

    Attributes:
      choice: The engine, or None if no engine may get the request.
      overload: Why the request is refused, if its engines have too much; else None.
    """

    choice: Choice | None
    overload: Overload | None = None


def select(
    board: EngineBoard,
    demand: Demand,
    tried: Collection[str],
    choose: Chooser,
    avoided: Collection[str] = (),
) -> Selection:
    """Return the engine for the next attempt.

    A request is refused for overload only before its first attempt: later it may have run.

    Args:
      tried: Ids of the engines that have had the request.
      avoided: Ids of further engines that it cannot be sent to.
    """
    if demand.prompt_parts and not tried:
        states = board.candidates(demand.service, ())
        refusal = overload(states, demand)
        if refusal is not None:
            return Selection(None, refusal)
    states = board.candidates(demand.service, {*tried, *avoided})
    return Selection(choose(states, demand) if states else None)


def start_notice(choice: Choice, demand: Demand, attempt_id: str) -> LoadNotice:
    """Return the notice that an attempt begins at the chosen engine."""
    return LoadNotice(
        LoadPhase.STARTED,
        attempt_id,
        choice.state.entry.engine_id,
        demand.prompt_tokens,
        demand.prompt_parts,
        choice.fetched_tokens,
    )
