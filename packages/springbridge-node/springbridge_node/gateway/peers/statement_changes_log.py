"""Logs changes of what endpoints say of themselves."""

from springbridge.rates.rate_table import RateChange

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
