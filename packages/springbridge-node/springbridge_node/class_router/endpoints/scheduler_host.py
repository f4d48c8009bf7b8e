"""The schedulers that run on this node: one for each endpoint that it owns by hash.

Owns the schedulers and which endpoint a slot request is for. The decisions are the library's
(springbridge.classes.slots.scheduler); this module carries messages to them and back.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from springbridge.classes.decisions import Decision, Hold, Inventory, Release, Sample, SlotRequest
from springbridge.classes.entities import Table
from springbridge.classes.invariants import Invariants
from springbridge.classes.slots.scheduler import EndpointScheduler

# Interval of the node's one timer.
TICK_S = 0.1


class SchedulerHost:
    """Hands the messages of entry nodes to the schedulers, and sends their decisions back."""

    def __init__(
        self,
        me: str,
        clock: Callable[[], float],
        invariants: Invariants,
        table: Callable[[], Table],
        send: Callable[[str, Decision], None],
    ):
        """Start with no scheduler; each is made at the first slot request for its endpoint."""
        self._me = me
        self._clock = clock
        self._invariants = invariants
        self._table = table
        self._send = send
        self.schedulers: dict[str, EndpointScheduler] = {}
        self._endpoint_of: dict[str, str] = {}

    def take(self, message: SlotRequest | Hold | Inventory | Release | Sample) -> None:
        """Take in a message from an entry node."""
        self._take(message)

    @singledispatchmethod
    def _take(self, message: object) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_take.register
    def _(self, slot_request: SlotRequest) -> None:
        scheduler = self._scheduler(slot_request.endpoint)
        if scheduler is not None:
            self._endpoint_of[slot_request.slot_request_id] = slot_request.endpoint
            self._carry(scheduler.request_slot(slot_request))

    @_take.register
    def _(self, hold: Hold) -> None:
        scheduler = self._scheduler(hold.slot_request.endpoint)
        if scheduler is not None:
            self._endpoint_of[hold.slot_request.slot_request_id] = hold.slot_request.endpoint
            scheduler.hold(hold.slot_request)

    @_take.register
    def _(self, inventory: Inventory) -> None:
        for scheduler in self.schedulers.values():
            self._carry(scheduler.take_inventory(inventory))

    @_take.register
    def _(self, release: Release) -> None:
        scheduler = self.schedulers.get(self._endpoint_of.pop(release.slot_request_id, ""))
        if scheduler is not None:
            self._carry(scheduler.release(release))

    @_take.register
    def _(self, sample: Sample) -> None:
        scheduler = self.schedulers.get(self._endpoint_of.get(sample.slot_request_id, ""))
        if scheduler is not None:
            scheduler.sample(sample)

    def tick(self) -> None:
        """Let time pass for all schedulers; called every TICK_S."""
        for scheduler in self.schedulers.values():
            self._carry(scheduler.tick())

    def drop_nodes(self, gone: Callable[[str], bool]) -> None:
        """Forget the slot requests and slots of entry nodes that are gone."""
        for scheduler in self.schedulers.values():
            for node in scheduler.nodes():
                if gone(node):
                    self._carry(scheduler.drop_node(node))

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

    def _carry(self, decisions: list[Decision]) -> None:
        """Send decisions to their entry nodes."""
        for decision in decisions:
            self._send(decision.node, decision)
