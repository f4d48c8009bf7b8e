"""The parts of a running node, as its HTTP handlers see them, and when it takes requests."""

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

# When a caller may come back to a node that is leaving or not fresh. The answer names other nodes,
# so this only matters where there are none.
CLOSED_RETRY_S = 0.5


@dataclass
class NodeParts:
    """The parts of a node.

    Attributes:
      clock: Monotonic time in seconds.
      refusing: Whether new requests are refused: the planned stop has waited until callers had
        time to learn other addresses.
      running: Requests that are being answered.
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

    def closed(self) -> Problem | None:
        """Decide on readiness: return why new requests are refused, or None.

        Inputs: whether a planned stop refuses already, and whether the table in force is fresh
        enough (springbridge.classes.table.freshness).
        Outcome: NODE_LEAVING or CONFIG_NOT_FRESH with a time to come back, or None.
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
