"""Logs changes of what endpoints say of themselves."""

from collections.abc import Mapping, Set

from springbridge.rates.rate_table import RateChange
from springbridge.routing.records import EndpointIncarnation

from springbridge_node import logs

# Source of a change that this node saw itself; in place of a peer's address.
ANSWER = "answer"


def log_change(change: RateChange, source: str, age_s: float) -> None:
    """Log that a rate came, changed or ended.

    Args:
      source: ANSWER, or the address of the peer that told of it.
      age_s: How long ago the answer with it came, in seconds.
    """
    logs.event(
        "engine.rate_changed",
        engine=change.incarnation.endpoint_id,
        before=change.before,
        per_s=change.after,
        source=source,
        age_ms=round(age_s * 1000),
    )


def log_leaving(endpoint_id: str, source: str, request_id: str = "") -> None:
    """Log that an endpoint leaves.

    Args:
      source: ANSWER, or the address of the peer that told of it.
      request_id: The request that was answered so; "" if a peer told.
    """
    logs.event("engine.leaves", engine=endpoint_id, source=source, request_id=request_id)


def log_cold(before: Set[EndpointIncarnation], after: Mapping[EndpointIncarnation, float]) -> None:
    """Log which endpoints have a rate from now on because they are cold, and which no more."""
    for incarnation in sorted(after.keys() - before, key=_id):
        logs.event("engine.cold", engine=incarnation.endpoint_id, per_s=after[incarnation])
    for incarnation in sorted(before - after.keys(), key=_id):
        logs.event("engine.warm", engine=incarnation.endpoint_id)


def _id(incarnation: EndpointIncarnation) -> str:
    return incarnation.endpoint_id
