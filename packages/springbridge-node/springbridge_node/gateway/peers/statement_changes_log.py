"""Logs the rates that endpoints name."""

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
