"""The entry node's side of the slots: ask schedulers, take the first grant, give slots back.

It owns the slot requests of the attempts that wait and the slots that this node holds. It relies on
a route from an endpoint to the node that schedules it; messages may get lost, and resend() and
send_inventories() make up for that. Which endpoints are asked is decided in asking_order.py. An
attempt is refused once every endpoint has refused it or its wait is over; until then, an endpoint
that refused is asked again.
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
from springbridge.classes.slots.asking_order import UsedShares, choose_first, choose_others
from springbridge.classes.slots.pending_asks import (
    Held,
    Pending,
    SlotRequestTerms,
    slot_request_for,
)
from springbridge.codes import Code
from springbridge.problems import Problem

INVARIANT_ASKED_EVERYWHERE = "top tier asked everywhere before refusal"

# Time after which the first endpoint's silence counts as no slot, so that the others are asked.
FIRST_DECISION_TIMEOUT_S = 0.15
# Time from an endpoint's refusal until it is asked again while others have not refused, so that the
# final refusal holds for all at the same moment.
REQUEST_AGAIN_S = 1.0
# Time for which schedulers may still answer after the attempt's wait has ended. Their refusal names
# the better time to come back; they look for expired slot requests ten times a second.
EXPIRY_GRACE_S = 0.5

# Share of the slots in use at an endpoint that let a slot request wait or refused it.
FULLY_USED_SHARE = 1.0

ToScheduler = SlotRequest | Hold | Inventory | Release | Sample
Send = Callable[[str, ToScheduler], None]


class SlotClient:
    """The slot source that asks the endpoints' schedulers."""

    def __init__(
        self,
        me: str,
        clock: Callable[[], float],
        route: Callable[[str], str | None],
        send: Send,
        invariants: Invariants,
        rng: random.Random,
    ):
        """Start with nothing asked.

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
        """Wait for the first grant, or return the problem that refuses the attempt."""
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
        """Return when the slot's scheduler takes it back."""
        await self._held[slot.slot_request_id].preempted.wait()

    def resend(self) -> None:
        """Repeat slot requests and slots to schedulers that took over or are connected anew."""
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
        """Report to each scheduler what this node has there, so that it frees the rest."""
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
        """Withdraw a slot request or slot from a scheduler whose role another node has now."""
        if scheduler is not None and scheduler != self._route(endpoint):
            self._send_release(slot_request_id, scheduler)

    @singledispatchmethod
    def take(self, decision: Decision) -> None:
        """Act on a decision of a scheduler."""
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
        """Ask at endpoints that were not asked yet."""
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
        """Ask an endpoint that refused again while others have not refused."""
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
        """Give back a slot that was granted just as the caller went away."""
        granted = pending.granted
        if not granted.done() or granted.cancelled():
            return
        match granted.result():
            case Success(slot):
                self.release(slot, Outcome.UNUSED, Sample(slot.slot_request_id, 0.0, 0.0, 0))

    def _close(self, pending: Pending) -> None:
        """Withdraw the slot requests that are left, also when the caller went away."""
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
