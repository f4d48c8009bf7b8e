"""Logs changes in the statements of endpoints: rate limits, leaving and cold starts."""

from collections.abc import Mapping, Set

from springbridge.rates.rate_table import RateChange
from springbridge.routing.records import EndpointIncarnation

from springbridge_node import logs

# Source, in the log, of a change that this node took from an endpoint's answer itself; otherwise
# the source is a peer's address.
ANSWER = "answer"


def log_change(change: RateChange, source: str, age_s: float) -> None:
    """Log that a rate limit was set, changed or ended.

    Args:
      source: ANSWER, or the address of the peer that reported it.
      age_s: Seconds since the answer with the statement arrived.
    """
    logs.event(
        "engine.rate_changed",
        engine=change.incarnation.endpoint_id,
        before=change.before,
        per_s=change.after,
        source=source,
        age_ms=round(age_s * 1000),
    )


def log_leaving(incarnation: EndpointIncarnation, source: str, request_id: str = "") -> None:
    """Log that an endpoint leaves, and in which run as this node knows it.

    Args:
      source: ANSWER, or the address of the peer that reported it.
      request_id: Id of the request whose answer stated it; "" if a peer reported it.
    """
    logs.event(
        "engine.leaves",
        engine=incarnation.endpoint_id,
        born_ms=incarnation.born_ms,
        source=source,
        request_id=request_id,
    )


def log_cold(before: Set[EndpointIncarnation], after: Mapping[EndpointIncarnation, float]) -> None:
    """Log endpoints that now have a rate limit because they are cold, and those that no longer do.

    Args:
      before: The cold endpoints so far.
      after: The cold endpoints now, with their rates per second.
    """
    for incarnation in sorted(after.keys() - before, key=_id):
        logs.event("engine.cold", engine=incarnation.endpoint_id, per_s=after[incarnation])
    for incarnation in sorted(before - after.keys(), key=_id):
        logs.event("engine.warm", engine=incarnation.endpoint_id)


def _id(incarnation: EndpointIncarnation) -> str:
    return incarnation.endpoint_id
