"""Requests slots from schedulers for this entry node's attempts, and gives the slots back.

An attempt takes the first slot that is granted; requests at other endpoints are then withdrawn.
endpoint_choice.py decides at which endpoints slots are requested. An attempt is refused once every
endpoint has refused it or its wait is over; until then, a slot is requested again at an endpoint
that refused.
The client relies on a route from an endpoint to the node that schedules it. Messages may get lost;
resend() and send_inventories() make up for that.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from functools import singledispatchmethod

from returns.result import Failure, Result, Success

from springbridge.classes.decisions import (
    Decision,
    Grant,
    Hold,
    Inventory,
    Outcome,
    Preemption,
    Queued,
    Refusal,
    Release,
    Sample,
    SlotRequest,
)
from springbridge.classes.entities import Endpoint, Tier
from springbridge.classes.invariants import Invariants
from springbridge.classes.ports import Attempt, Slot
from springbridge.classes.retry_times import NO_ENDPOINT_S
from springbridge.classes.slots.endpoint_choice import UsedShares, choose_first, choose_others
from springbridge.classes.slots.pending_attempts import (
    Held,
    Pending,
    SlotRequestTerms,
    slot_request_for,
)
from springbridge.codes import Code
from springbridge.problems import Problem

INVARIANT_ASKED_EVERYWHERE = "top tier asked everywhere before refusal"

# Time after which slots are requested at other endpoints if the first has not decided.
FIRST_DECISION_TIMEOUT_S = 0.15
# Time from an endpoint's refusal until a slot is requested there again while other endpoints have
# not refused, so that the final refusal is true of all endpoints at the same time.
REQUEST_AGAIN_S = 1.0
# Time after the end of the attempt's wait in which schedulers may still answer. Their refusals
# carry a better estimate of when to retry; they check for expired slot requests ten times a second.
EXPIRY_GRACE_S = 0.5

# Share of the slots in use that is assumed of an endpoint that queued or refused a slot request.
FULLY_USED_SHARE = 1.0

ToScheduler = SlotRequest | Hold | Inventory | Release | Sample
Send = Callable[[str, ToScheduler], None]


class SlotClient:
    """SlotSource that requests slots from the endpoints' schedulers."""

    def __init__(
        self,
        me: str,
        clock: Callable[[], float],
        route: Callable[[str], str | None],
        send: Send,
        invariants: Invariants,
        rng: random.Random,
    ):
        """Start without slot requests and slots.

        Args:
          me: This node's incarnation.
          route: Returns the incarnation that schedules an endpoint, or None.
          send: Sends a message to an incarnation; it may get lost, and resend() repeats it.
        """
        self._me = me
        self._clock = clock
        self._route = route
        self._send = send
        self._invariants = invariants
        self._rng = rng
        self._numbers = itertools.count(1)
        self._pending: dict[str, Pending] = {}
        self._schedulers: dict[str, str | None] = {}
        self._held: dict[str, Held] = {}
        self._used = UsedShares()

    async def acquire(self, attempt: Attempt) -> Result[Slot, Problem]:
        """Wait for the first grant, or return the Problem of an attempt that gets none."""
        if not attempt.endpoints:
            return Failure(Problem(Code.NO_ENGINE, retry_after_s=NO_ENDPOINT_S))
        loop = asyncio.get_running_loop()
        pending = Pending(attempt, loop.create_future(), self._clock())
        self._request_slot(
            pending, choose_first(attempt, self._used, self._rng), fan=1, primary=True
        )
        first_decision_timer = loop.call_later(
            FIRST_DECISION_TIMEOUT_S, self._request_others, pending
        )
        expiry = loop.call_later(attempt.wait_s + EXPIRY_GRACE_S, self._expire, pending)
        pending.timers += [first_decision_timer, expiry]
        try:
            return await pending.granted
        except asyncio.CancelledError:
            self._give_back(pending)
            raise
        finally:
            self._close(pending)

    def sample(self, slot: Slot, sample: Sample) -> None:
        """Report the progress of a slot in use to its scheduler."""
        held = self._held.get(slot.slot_request_id)
        if held is not None and held.scheduler is not None:
            self._send(held.scheduler, sample)

    def release(self, slot: Slot, outcome: Outcome, sample: Sample) -> None:
        """Give a slot back."""
        held = self._held.pop(slot.slot_request_id, None)
        if held is not None and held.scheduler is not None:
            self._send(held.scheduler, Release(slot.slot_request_id, outcome, sample))

    async def preempted(self, slot: Slot) -> None:
        """Wait until the slot's scheduler takes it back."""
        await self._held[slot.slot_request_id].preempted.wait()

    def resend(self) -> None:
        """Send all slot requests and slots again, for schedulers that took over or reconnected."""
        for pending in {id(one): one for one in self._pending.values()}.values():
            for slot_request in list(pending.slot_requests.values()):
                self._withdraw_if_moved(
                    slot_request.slot_request_id,
                    self._schedulers.get(slot_request.slot_request_id),
                    slot_request.endpoint,
                )
                self._send_request(slot_request)
        for held in self._held.values():
            self._withdraw_if_moved(
                held.slot_request.slot_request_id, held.scheduler, held.slot_request.endpoint
            )
            held.scheduler = self._route(held.slot_request.endpoint)
            if held.scheduler is not None:
                self._send(held.scheduler, Hold(held.slot_request))

    def send_inventories(self) -> None:
        """Send each scheduler the ids of this node's slot requests and slots; it drops others."""
        found: dict[str, list[str]] = {}
        for slot_request_id, scheduler in self._schedulers.items():
            if scheduler is not None:
                found.setdefault(scheduler, []).append(slot_request_id)
        for slot_request_id, held in self._held.items():
            if held.scheduler is not None:
                found.setdefault(held.scheduler, []).append(slot_request_id)
        for scheduler, slot_request_ids in found.items():
            self._send(scheduler, Inventory(self._me, tuple(slot_request_ids)))

    def _withdraw_if_moved(
        self, slot_request_id: str, scheduler: str | None, endpoint: str
    ) -> None:
        """Withdraw a slot request or slot from a node that no longer schedules the endpoint."""
        if scheduler is not None and scheduler != self._route(endpoint):
            self._send_release(slot_request_id, scheduler)

    @singledispatchmethod
    def take(self, decision: Decision) -> None:
        """Apply a decision of a scheduler."""
        raise TypeError(f"unknown decision {decision!r}")

    @take.register
    def _(self, grant: Grant) -> None:
        pending = self._pending.pop(grant.slot_request_id, None)
        if pending is None or pending.granted.done():
            self._return_unused(grant)
            return
        slot_request = pending.slot_requests.pop(grant.slot_request_id)
        self._used.note(slot_request, grant.used_share)
        self._schedulers.pop(grant.slot_request_id, None)
        self._held[grant.slot_request_id] = Held(slot_request, grant.scheduler)
        endpoint = pending.attempt.endpoint_named(slot_request.endpoint)
        pending.granted.set_result(Success(Slot(grant.slot_request_id, endpoint)))

    @take.register
    def _(self, queued: Queued) -> None:
        pending = self._pending.get(queued.slot_request_id)
        if pending is not None:
            slot_request = pending.slot_requests[queued.slot_request_id]
            self._used.note(slot_request, FULLY_USED_SHARE)
            self._request_others(pending)

    @take.register
    def _(self, refusal: Refusal) -> None:
        pending = self._pending.pop(refusal.slot_request_id, None)
        if pending is None or pending.granted.done():
            return
        slot_request = pending.slot_requests.pop(refusal.slot_request_id)
        self._schedulers.pop(refusal.slot_request_id, None)
        pending.refusals[slot_request.endpoint] = refusal.retry_after_s
        self._used.note(slot_request, FULLY_USED_SHARE)
        self._request_others(pending)
        if pending.slot_requests:
            self._request_again_later(pending, slot_request)
        else:
            self._refuse(pending)

    @take.register
    def _(self, preemption: Preemption) -> None:
        held = self._held.get(preemption.slot_request_id)
        if held is not None:
            held.preempted.set()

    def _return_unused(self, grant: Grant) -> None:
        """Give back a slot granted too late, unless the grant repeats that of a slot in use."""
        self._schedulers.pop(grant.slot_request_id, None)
        if grant.slot_request_id not in self._held:
            self._send_release(grant.slot_request_id, grant.scheduler)

    def _send_release(self, slot_request_id: str, scheduler: str) -> None:
        self._send(
            scheduler,
            Release(slot_request_id, Outcome.UNUSED, Sample(slot_request_id, 0.0, 0.0, 0)),
        )

    def _request_others(self, pending: Pending) -> None:
        """Request slots at endpoints that the attempt has not tried yet."""
        if pending.granted.done():
            return
        others = choose_others(
            pending.attempt, pending.asked, len(pending.slot_requests), self._rng
        )
        fan = len(others) + len(pending.slot_requests)
        for endpoint in others:
            self._request_slot(pending, endpoint, fan, primary=False)

    def _request_slot(self, pending: Pending, endpoint: Endpoint, fan: int, primary: bool) -> None:
        name = f"{self._me}/{next(self._numbers)}"
        slot_request = slot_request_for(
            pending, SlotRequestTerms(name, self._me, endpoint, fan, primary), self._clock()
        )
        pending.asked.add(endpoint.name)
        pending.slot_requests[slot_request.slot_request_id] = slot_request
        self._pending[slot_request.slot_request_id] = pending
        self._send_request(slot_request)

    def _send_request(self, slot_request: SlotRequest) -> None:
        scheduler = self._route(slot_request.endpoint)
        self._schedulers[slot_request.slot_request_id] = scheduler
        if scheduler is not None:
            self._send(scheduler, slot_request)

    def _request_again_later(self, pending: Pending, slot_request: SlotRequest) -> None:
        """Schedule another slot request at an endpoint that refused, while others have not."""
        loop = asyncio.get_running_loop()
        endpoint = pending.attempt.endpoint_named(slot_request.endpoint)
        again = loop.call_later(REQUEST_AGAIN_S, self._request_again, pending, endpoint)
        pending.timers.append(again)

    def _request_again(self, pending: Pending, endpoint: Endpoint) -> None:
        if not pending.granted.done():
            self._request_slot(pending, endpoint, len(pending.slot_requests) + 1, primary=False)

    def _refuse(self, pending: Pending) -> None:
        """Refuse an attempt that every endpoint refused."""
        attempt = pending.attempt
        if attempt.request.request_class.tier is Tier.URGENT:
            everywhere = pending.asked >= {endpoint.name for endpoint in attempt.endpoints}
            self._invariants.check(INVARIANT_ASKED_EVERYWHERE, everywhere)
        retry_after_s = min(pending.refusals.values())
        problem = Problem(Code.OVERLOADED, retry_after_s=retry_after_s)
        pending.granted.set_result(Failure(problem))

    def _expire(self, pending: Pending) -> None:
        """Refuse an attempt whose schedulers did not answer in time."""
        if not pending.granted.done():
            retry_after_s = min(pending.refusals.values(), default=NO_ENDPOINT_S)
            problem = Problem(Code.WAIT_EXPIRED, retry_after_s=retry_after_s)
            pending.granted.set_result(Failure(problem))

    def _give_back(self, pending: Pending) -> None:
        """Give back a slot that was granted while the caller was disconnecting."""
        granted = pending.granted
        if not granted.done() or granted.cancelled():
            return
        match granted.result():
            case Success(slot):
                self.release(slot, Outcome.UNUSED, Sample(slot.slot_request_id, 0.0, 0.0, 0))

    def _close(self, pending: Pending) -> None:
        """Withdraw the remaining slot requests; also called when the caller disconnected."""
        for timer in pending.timers:
            timer.cancel()
        for slot_request_id in pending.slot_requests:
            self._pending.pop(slot_request_id, None)
            scheduler = self._schedulers.pop(slot_request_id, None)
            if scheduler is not None:
                self._send_release(slot_request_id, scheduler)
        granted = pending.granted
        if not granted.done():
            granted.cancel()
