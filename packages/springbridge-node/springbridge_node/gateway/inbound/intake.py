"""What the clients of all listeners of a node have in common: bytes, time, and reports on refusals.

Time in which the process itself was suspended does not count against clients.
"""

from collections import Counter
from typing import Protocol

from springbridge.byte_budget import ByteBudget
from springbridge.instance_limits import InstanceLimits, ListenerKind

from springbridge_node import clock, logs
from springbridge_node.gateway.inbound.free_memory import release_free_memory
from springbridge_node.gateway.inbound.refusals import RefusalKind
from springbridge_node.gateway.telemetry import Telemetry

# Seconds between two looks for connections that take too long.
SWEEP_INTERVAL_S = 0.5
# Seconds that count at most between two looks; in a longer time the process was suspended.
MAX_COUNTED_S = 2 * SWEEP_INTERVAL_S
# Shares of the budget above which clients are a crowd, and below which it has gone.
CROWDED_SHARE, CALM_SHARE = 0.5, 0.2
# Seconds between two log lines of one kind at one listener.
LINE_INTERVAL_S = 1.0
BYTES_PER_MB = 1 << 20


class Sweepable(Protocol):
    """A listener, as its intake sees it."""

    kind: ListenerKind

    def connection_count(self) -> int:
        """Return how many connections are open."""

    def close_slow(self) -> None:
        """Close or refuse what takes too long."""

    def close_waiting(self) -> bool:
        """Close the connection that can be spared best; return whether there was one."""


class Intake:
    """Joins the listeners of a node.

    Attributes:
      limits: What all clients may take.
      budget: The bytes that they make the process hold.
      listeners: The listeners, in the order in which they were opened.
    """

    def __init__(self, limits: InstanceLimits, telemetry: Telemetry) -> None:
        """Start without listeners."""
        self.limits = limits
        self.budget = ByteBudget(limits.request_bytes())
        self.listeners: list[Sweepable] = []
        self._telemetry = telemetry
        self._swept_s = clock.now_s()
        self._was_crowded = False
        self._logged_s: dict[tuple[ListenerKind, RefusalKind], float] = {}
        self._unlogged: Counter[tuple[ListenerKind, RefusalKind]] = Counter()

    async def sweep(self) -> None:
        """Close what takes too long, at all listeners; called every SWEEP_INTERVAL_S."""
        now_s = clock.now_s()
        self.budget.now_s += min(now_s - self._swept_s, MAX_COUNTED_S)
        self._swept_s = now_s
        self._release_memory()
        for listener in self.listeners:
            listener.close_slow()

    def _release_memory(self) -> None:
        """Give memory back to the system once clients that held much have gone."""
        held, limit = self.budget.held_bytes, self.budget.limit_bytes
        if held > CROWDED_SHARE * limit:
            self._was_crowded = True
        elif self._was_crowded and held < CALM_SHARE * limit:
            self._was_crowded = False
            release_free_memory()

    def free_descriptor(self) -> None:
        """Close a connection that waits, at the listener that has most connections."""
        for listener in sorted(self.listeners, key=lambda each: -each.connection_count()):
            if listener.close_waiting():
                return

    def report(
        self, listener: ListenerKind, kind: RefusalKind, remote_ip: str, request_id: str = ""
    ) -> None:
        """Count a refusal or a closed connection, and log it unless one was logged just now."""
        self._telemetry.inbound_refusals.labels(listener.value, kind.value).inc()
        key, now_s = (listener, kind), clock.now_s()
        self._unlogged[key] += 1
        if now_s - self._logged_s.get(key, float("-inf")) < LINE_INTERVAL_S:
            return
        self._logged_s[key] = now_s
        logs.event(
            "inbound.refused",
            listener=listener.value,
            kind=kind.value,
            caller=remote_ip,
            request_id=request_id,
            count=self._unlogged.pop(key),
            held_mb=round(self.budget.held_bytes / BYTES_PER_MB, 1),
            limit_mb=round(self.budget.limit_bytes / BYTES_PER_MB, 1),
        )

    def set_gauges(self) -> None:
        """Set the gauges of what clients take."""
        self._telemetry.inbound_bytes.set(self.budget.held_bytes)
        for listener in self.listeners:
            gauge = self._telemetry.inbound_connections.labels(listener.kind.value)
            gauge.set(listener.connection_count())
