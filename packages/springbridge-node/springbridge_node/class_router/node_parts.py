"""The parts of a running node that its HTTP handlers use, and its readiness."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from springbridge.codes import Code
from springbridge.membership import Member, Membership
from springbridge.problems import Problem

from springbridge_node.class_router.config.config_sync import ConfigSync
from springbridge_node.class_router.metrics import Metrics
from springbridge_node.class_router.requests.at_most_once import AtMostOnce
from springbridge_node.class_router.requests.limit_gate import LimitGate
from springbridge_node.class_router.serve_settings import Settings

# Retry-After of a node that is leaving or whose table is stale. The answer names other nodes, so
# this only matters if there are none.
CLOSED_RETRY_S = 0.5


@dataclass
class NodeParts:
    """The parts of a node, and the state of its planned stop.

    Attributes:
      clock: Monotonic time in seconds.
      refusing: Whether new requests are refused. A planned stop sets it once callers had time to
        learn other addresses.
      running: Number of requests in flight.
    """

    settings: Settings
    clock: Callable[[], float]
    metrics: Metrics
    membership: Membership
    config: ConfigSync
    limits: LimitGate
    at_most_once: AtMostOnce
    refusing: bool = False
    running: int = 0

    def refusal_reason(self) -> Problem | None:
        """Return why new requests are refused, or None if the node is ready.

        Inputs: whether a planned stop already refuses requests, and whether the table in force is
        fresh enough (springbridge.classes.table.freshness).
        Outcome: NODE_LEAVING or CONFIG_NOT_FRESH with a time to retry after, or None.
        """
        if self.refusing:
            return Problem(Code.NODE_LEAVING, retry_after_s=CLOSED_RETRY_S)
        if not self.config.may_serve():
            return Problem(Code.CONFIG_NOT_FRESH, retry_after_s=CLOSED_RETRY_S)
        return None

    def other_live(self) -> list[Member]:
        """Return the other live members, which a refused caller may use instead."""
        me = self.membership.me.incarnation
        return [member for member in self.membership.live() if member.incarnation != me]

    @contextmanager
    def in_flight(self) -> Iterator[None]:
        """Count a request while it is being answered."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
