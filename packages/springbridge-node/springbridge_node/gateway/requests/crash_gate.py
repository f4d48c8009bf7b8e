"""Decides before each attempt whether it may be made, and records whether its endpoint survived.

Combines the two gates: that of whole requests (quarantine_gate.py) and that of parts of prompts
(part_gate.py). A crash is confirmed once for both.
"""

import contextlib
from collections.abc import Iterator
from dataclasses import replace

from springbridge.routing import retries
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.retries import AttemptOutcome

from springbridge_node.gateway.endpoints.crash_confirmation import CrashConfirmation
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.requests.gate_decisions import GateDecision, wait_for_trial
from springbridge_node.gateway.requests.part_gate import PartGate
from springbridge_node.gateway.requests.quarantine_gate import QuarantineGate

# Ends that show that the endpoint survived the request.
SURVIVED_ENDS = frozenset({AttemptOutcome.DELIVERED, AttemptOutcome.ENDPOINT_ERROR})


class CrashGate:
    """Keeps what crashes endpoints away from them.

    Attributes:
      requests: The gate of whole requests.
      parts: The gate of parts of prompts.
    """

    def __init__(
        self, requests: QuarantineGate, parts: PartGate, confirmation: CrashConfirmation
    ) -> None:
        """Combine the gates."""
        self.requests = requests
        self.parts = parts
        self._confirmation = confirmation

    async def check(self, exchange: Exchange, choice: Choice | None) -> GateDecision:
        """Decide whether a request may be sent to the selected endpoint.

        Args:
          choice: None if there is no endpoint, or only endpoints that run enough trials already.
        """
        refused = self.parts.refuse(exchange)
        if refused is not None:
            return refused
        if choice is None and exchange.progress.avoided and self.parts.needs_trial(exchange):
            return await wait_for_trial(exchange)
        decision = await self.requests.check(exchange, choice)
        if choice is None or not decision.may_send or not _may_be_sent(exchange):
            return decision
        part_decision = await self.parts.check(exchange, choice)
        if not part_decision.may_send:
            self.requests.give_back(exchange, decision)
            return part_decision
        return replace(decision, part_trial=part_decision.part_trial)

    @contextlib.contextmanager
    def attempt(self, exchange: Exchange, decision: GateDecision) -> Iterator[None]:
        """Mark the trials, if there are any, as running during the block."""
        with self.requests.attempt(exchange, decision), self.parts.attempt(exchange, decision):
            yield

    async def record_end(
        self, exchange: Exchange, state: EndpointState, end: AttemptOutcome
    ) -> bool:
        """Record the outcome of an attempt; return whether its endpoint crashed."""
        if end in SURVIVED_ENDS:
            self.requests.record_success(exchange)
        self.parts.record_end(exchange, end)
        if end is not AttemptOutcome.BROKEN:
            return False
        progress = exchange.progress
        on_trial, parts_on_trial = progress.on_trial, progress.parts_on_trial

        def record_crash() -> None:
            self.requests.record_crash(exchange, state, on_trial)
            self.parts.record_crash(exchange, state, parts_on_trial)

        has_crashed = await self._confirmation.has_crashed(
            state, on_late_crash=record_crash, sent_s=progress.chosen[-1].sent_s
        )
        if has_crashed:
            record_crash()
        return has_crashed

    def forget_old(self) -> None:
        """Drop refusals and crash records that have expired."""
        self.requests.forget_old()
        self.parts.forget_old()


def _may_be_sent(exchange: Exchange) -> bool:
    """Return whether the route's limit allows another attempt; else a trial would not take place.

    The router gives up such a request right after.
    """
    if not exchange.progress.sends:
        return True
    return retries.has_endpoint_left(exchange.route, exchange.attempts())
