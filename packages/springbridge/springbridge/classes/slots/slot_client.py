"""The entry node's side of scheduling: ask for slots, take the first grant, give slots back.

An attempt asks one endpoint first: of two candidates the emptier, as far as their last grants told.
If that one has no slot at once, all the others are asked too and the first grant is taken (late
binding; Ousterhout and others, Sparrow, SOSP 2013), so that no request is stranded behind a slow
endpoint. A refusal is final only when every endpoint refused; until then it is asked again there.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from functools import singledispatchmethod

from returns.result import Failure, Result, Success

from springbridge.classes.decisions import (
    Ask,
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
)
from springbridge.classes.entities import Endpoint, Tier
from springbridge.classes.invariants import Invariants
from springbridge.classes.ports import Attempt, Slot
from springbridge.classes.slots.pending_asks import (
    AskTerms,
    Held,
    Pending,
    ask_for,
    endpoint_named,
    preferred,
)
from springbridge.codes import Code
from springbridge.problems import Problem

INVARIANT_ASKED_EVERYWHERE = "top tier asked everywhere before refusal"

FIRST_FAN = 3
ALL_WHILE_FEW = 12
PATIENCE_S = 0.15
ASK_AGAIN_S = 1.0
EXPIRY_GRACE_S = 0.5
PREFERENCE_BOUND = 0.5
ROLE_PREFIX = "engine/"

ToScheduler = Ask | Hold | Inventory | Release | Sample
Send = Callable[[str, ToScheduler], None]


class SlotClient:
    """The slot source that asks the schedulers of the endpoints."""

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
          send: Sends a message to an incarnation; lost messages are sent again by resend.
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
        self._used_share: dict[tuple[str, Tier], float] = {}

    async def acquire(self, attempt: Attempt) -> Result[Slot, Problem]:
        """Wait for the first grant, or return the problem that refuses the attempt."""
        if not attempt.endpoints:
            return Failure(Problem(Code.NO_ENGINE, retry_after_s=ASK_AGAIN_S))
        loop = asyncio.get_running_loop()
        pending = Pending(attempt, loop.create_future(), self._clock())
        self._ask(pending, self._choose_first(attempt), fan=1, primary=True)
        patience = loop.call_later(PATIENCE_S, self._ask_others, pending)
        expiry = loop.call_later(attempt.wait_s + EXPIRY_GRACE_S, self._expire, pending)
        pending.timers += [patience, expiry]
        try:
            return await pending.granted
        except asyncio.CancelledError:
            self._give_back(pending)
            raise
        finally:
            self._close(pending)

    def sample(self, slot: Slot, sample: Sample) -> None:
        """Report what is seen of a slot in use."""
        held = self._held.get(slot.ask_id)
        if held is not None and held.scheduler is not None:
            self._send(held.scheduler, sample)

    def release(self, slot: Slot, outcome: Outcome, sample: Sample) -> None:
        """Give a slot back."""
        held = self._held.pop(slot.ask_id, None)
        if held is not None and held.scheduler is not None:
            self._send(held.scheduler, Release(slot.ask_id, outcome, sample))

    async def preempted(self, slot: Slot) -> None:
        """Return when the slot's scheduler takes it back."""
        await self._held[slot.ask_id].preempted.wait()

    def resend(self) -> None:
        """Repeat asks and slots to schedulers that took over or were reconnected."""
        for pending in {id(one): one for one in self._pending.values()}.values():
            for ask in list(pending.asks.values()):
                self._leave(ask.ask_id, self._schedulers.get(ask.ask_id), ask.endpoint)
                self._send_ask(ask)
        for held in self._held.values():
            self._leave(held.ask.ask_id, held.scheduler, held.ask.endpoint)
            held.scheduler = self._route(held.ask.endpoint)
            if held.scheduler is not None:
                self._send(held.scheduler, Hold(held.ask))

    def inventory(self) -> dict[str, list[str]]:
        """Return for each scheduler the ids of the asks and slots that this node has there."""
        found: dict[str, list[str]] = {}
        for ask_id, scheduler in self._schedulers.items():
            if scheduler is not None:
                found.setdefault(scheduler, []).append(ask_id)
        for ask_id, held in self._held.items():
            if held.scheduler is not None:
                found.setdefault(held.scheduler, []).append(ask_id)
        return found

    def _leave(self, ask_id: str, scheduler: str | None, endpoint: str) -> None:
        """Withdraw from a scheduler that another one has taken over from."""
        if scheduler is not None and scheduler != self._route(endpoint):
            self._send_release(ask_id, scheduler)

    def take(self, decision: Decision) -> None:
        """Take in a decision of a scheduler."""
        self._take(decision)

    @singledispatchmethod
    def _take(self, decision: Decision) -> None:
        raise TypeError(f"unknown decision {decision!r}")

    @_take.register
    def _(self, grant: Grant) -> None:
        pending = self._pending.pop(grant.ask_id, None)
        if pending is None or pending.granted.done():
            self._return_unused(grant)
            return
        ask = pending.asks.pop(grant.ask_id)
        self._used_share[ask.endpoint, ask.tier] = grant.used_share
        self._schedulers.pop(grant.ask_id, None)
        self._held[grant.ask_id] = Held(ask, grant.scheduler)
        endpoint = endpoint_named(pending.attempt, ask.endpoint)
        pending.granted.set_result(Success(Slot(grant.ask_id, endpoint)))

    @_take.register
    def _(self, queued: Queued) -> None:
        pending = self._pending.get(queued.ask_id)
        if pending is not None:
            ask = pending.asks[queued.ask_id]
            self._used_share[ask.endpoint, ask.tier] = 1.0
            self._ask_others(pending)

    @_take.register
    def _(self, refusal: Refusal) -> None:
        pending = self._pending.pop(refusal.ask_id, None)
        if pending is None or pending.granted.done():
            return
        ask = pending.asks.pop(refusal.ask_id)
        self._schedulers.pop(refusal.ask_id, None)
        pending.refusals[ask.endpoint] = refusal.retry_after_s
        self._used_share[ask.endpoint, ask.tier] = 1.0
        self._ask_others(pending)
        if pending.asks:
            self._ask_again_later(pending, ask)
        else:
            self._refuse(pending)

    @_take.register
    def _(self, preemption: Preemption) -> None:
        held = self._held.get(preemption.ask_id)
        if held is not None:
            held.preempted.set()

    def _return_unused(self, grant: Grant) -> None:
        """Give back a slot that came too late; the answer to a repeated ask changes nothing."""
        self._schedulers.pop(grant.ask_id, None)
        if grant.ask_id not in self._held:
            self._send_release(grant.ask_id, grant.scheduler)

    def _send_release(self, ask_id: str, scheduler: str) -> None:
        self._send(scheduler, Release(ask_id, Outcome.UNUSED, Sample(ask_id, 0.0, 0.0, 0)))

    def _choose_first(self, attempt: Attempt) -> Endpoint:
        """Return the endpoint to ask first: by preference while that one has room, else the
        emptier.

        Urgent requests of all nodes prefer the same endpoints, so that the others need not keep to
        the urgent targets; other requests prefer the endpoint that may have their prefix cached.
        """
        tier = attempt.request.request_class.tier
        names = {endpoint.name: 1.0 for endpoint in attempt.endpoints}
        for name in preferred(attempt.request, names):
            if self._used_share.get((name, tier), 0.0) < PREFERENCE_BOUND:
                return endpoint_named(attempt, name)
        two = self._rng.sample(attempt.endpoints, min(2, len(attempt.endpoints)))
        return min(two, key=lambda endpoint: self._used_share.get((endpoint.name, tier), 0.0))

    def _ask_others(self, pending: Pending) -> None:
        """Ask at the endpoints that were not asked yet: all while few, else a few at a time."""
        if pending.granted.done():
            return
        rest = [
            endpoint for endpoint in pending.attempt.endpoints if endpoint.name not in pending.asked
        ]
        if len(pending.attempt.endpoints) > ALL_WHILE_FEW and pending.asks:
            wanted = max(0, FIRST_FAN - len(pending.asks))
            rest = self._rng.sample(rest, min(wanted, len(rest)))
        fan = len(rest) + len(pending.asks)
        for endpoint in rest:
            self._ask(pending, endpoint, fan, primary=False)

    def _ask(self, pending: Pending, endpoint: Endpoint, fan: int, primary: bool) -> None:
        name = f"{self._me}/{next(self._numbers)}"
        ask = ask_for(pending, AskTerms(name, self._me, endpoint, fan, primary), self._clock())
        pending.asked.add(endpoint.name)
        pending.asks[ask.ask_id] = ask
        self._pending[ask.ask_id] = pending
        self._send_ask(ask)

    def _send_ask(self, ask: Ask) -> None:
        scheduler = self._route(ask.endpoint)
        self._schedulers[ask.ask_id] = scheduler
        if scheduler is not None:
            self._send(scheduler, ask)

    def _ask_again_later(self, pending: Pending, ask: Ask) -> None:
        """Ask again at an endpoint that refused while others have not."""
        loop = asyncio.get_running_loop()
        endpoint = endpoint_named(pending.attempt, ask.endpoint)
        again = loop.call_later(ASK_AGAIN_S, self._ask_again, pending, endpoint)
        pending.timers.append(again)

    def _ask_again(self, pending: Pending, endpoint: Endpoint) -> None:
        if not pending.granted.done():
            self._ask(pending, endpoint, len(pending.asks) + 1, primary=False)

    def _refuse(self, pending: Pending) -> None:
        """End an attempt that every endpoint refused."""
        attempt = pending.attempt
        if attempt.request.request_class.tier is Tier.URGENT:
            everywhere = pending.asked >= {endpoint.name for endpoint in attempt.endpoints}
            self._invariants.check(INVARIANT_ASKED_EVERYWHERE, everywhere)
        retry_after_s = min(pending.refusals.values())
        problem = Problem(Code.OVERLOADED, retry_after_s=retry_after_s)
        pending.granted.set_result(Failure(problem))

    def _expire(self, pending: Pending) -> None:
        """End an attempt whose schedulers did not answer in time."""
        if not pending.granted.done():
            retry_after_s = min(pending.refusals.values(), default=ASK_AGAIN_S)
            problem = Problem(Code.WAIT_EXPIRED, retry_after_s=retry_after_s)
            pending.granted.set_result(Failure(problem))

    def _give_back(self, pending: Pending) -> None:
        """Return a slot that was granted just as the caller went away."""
        granted = pending.granted
        if not granted.done() or granted.cancelled():
            return
        match granted.result():
            case Success(slot):
                self.release(slot, Outcome.UNUSED, Sample(slot.ask_id, 0.0, 0.0, 0))

    def _close(self, pending: Pending) -> None:
        """Withdraw what is still asked; runs also when the caller went away."""
        for timer in pending.timers:
            timer.cancel()
        for ask_id in pending.asks:
            self._pending.pop(ask_id, None)
            scheduler = self._schedulers.pop(ask_id, None)
            if scheduler is not None:
                self._send_release(ask_id, scheduler)
        granted = pending.granted
        if not granted.done():
            granted.cancel()
