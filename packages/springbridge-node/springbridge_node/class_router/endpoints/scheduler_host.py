"""Runs the endpoint schedulers of this node: one for each endpoint that it owns by rendezvous hash.

Owns the schedulers and the map from slot request ids to endpoints. The scheduling decisions are
made in springbridge.classes.slots.scheduler; this module delivers messages to it and sends its
decisions.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from springbridge.classes.decisions import Decision, Hold, Inventory, Release, Sample, SlotRequest
from springbridge.classes.entities import Table
from springbridge.classes.invariants import Invariants
from springbridge.classes.slots.scheduler import EndpointScheduler

# Interval of the timer that drives all periodic work of a node.
TICK_INTERVAL_S = 0.1


class SchedulerHost:
    """Delivers messages of entry nodes to the schedulers, and sends the decisions back."""

    def __init__(
        self,
        me: str,
        clock: Callable[[], float],
        invariants: Invariants,
        table: Callable[[], Table],
        send: Callable[[str, Decision], None],
    ):
        """Start without schedulers; each is created at the first slot request for its endpoint."""
        self._me = me
        self._clock = clock
        self._invariants = invariants
        self._table = table
        self._send = send
        self.schedulers: dict[str, EndpointScheduler] = {}
        self._endpoint_of: dict[str, str] = {}

    def handle(self, message: SlotRequest | Hold | Inventory | Release | Sample) -> None:
        """Handle a message from an entry node."""
        self._handle(message)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _(self, slot_request: SlotRequest) -> None:
        scheduler = self._scheduler(slot_request.endpoint)
        if scheduler is not None:
            self._endpoint_of[slot_request.slot_request_id] = slot_request.endpoint
            self._send_decisions(scheduler.request_slot(slot_request))

    @_handle.register
    def _(self, hold: Hold) -> None:
        scheduler = self._scheduler(hold.slot_request.endpoint)
        if scheduler is not None:
            self._endpoint_of[hold.slot_request.slot_request_id] = hold.slot_request.endpoint
            scheduler.hold(hold.slot_request)

    @_handle.register
    def _(self, inventory: Inventory) -> None:
        for scheduler in self.schedulers.values():
            self._send_decisions(scheduler.take_inventory(inventory))

    @_handle.register
    def _(self, release: Release) -> None:
        scheduler = self.schedulers.get(self._endpoint_of.pop(release.slot_request_id, ""))
        if scheduler is not None:
            self._send_decisions(scheduler.release(release))

    @_handle.register
    def _(self, sample: Sample) -> None:
        scheduler = self.schedulers.get(self._endpoint_of.get(sample.slot_request_id, ""))
        if scheduler is not None:
            scheduler.sample(sample)

    def tick(self) -> None:
        """Run the time-driven work of all schedulers; called every TICK_INTERVAL_S."""
        for scheduler in self.schedulers.values():
            self._send_decisions(scheduler.tick())

    def drop_nodes(self, gone: Callable[[str], bool]) -> None:
        """Drop the slot requests and slots of entry nodes for which gone returns true."""
        for scheduler in self.schedulers.values():
            for node in scheduler.nodes():
                if gone(node):
                    self._send_decisions(scheduler.drop_node(node))

    def keep_only(self, owned: Callable[[str], bool]) -> None:
        """Drop idle schedulers of endpoints that this node no longer owns or knows."""
        for endpoint, scheduler in list(self.schedulers.items()):
            idle = not scheduler.running and not len(scheduler.queue)
            if idle and not owned(endpoint):
                del self.schedulers[endpoint]
        live = set()
        for scheduler in self.schedulers.values():
            live |= scheduler.slot_request_ids()
        self._endpoint_of = {
            slot_request: name
            for slot_request, name in self._endpoint_of.items()
            if slot_request in live
        }

    def _scheduler(self, endpoint: str) -> EndpointScheduler | None:
        """Return the scheduler of an endpoint, or None if the table has no such endpoint."""
        found = self.schedulers.get(endpoint)
        if found is not None:
            return found
        record = self._table().endpoints.get(endpoint)
        if record is None:
            return None
        found = EndpointScheduler(
            self._me, endpoint, record.token_capacity, self._clock, self._invariants
        )
        self.schedulers[endpoint] = found
        return found

    def _send_decisions(self, decisions: list[Decision]) -> None:
        """Send each decision to the entry node that it is for."""
        for decision in decisions:
            self._send(decision.node, decision)
