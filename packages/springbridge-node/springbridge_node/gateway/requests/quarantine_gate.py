"""Keeps whole requests that crash endpoints away from them.

A request that was running when endpoints crashed is a suspect: it is sent only as a trial, which a
coordinator has to grant, and is refused while it is in quarantine. The rules are in
`springbridge.quarantine` and `springbridge.trials`; this module applies them before each attempt.
While no endpoint crashes there are no records, and a request costs one comparison here.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from springbridge.crash_records import CrashRecords, crash_id
from springbridge.quarantine import Quarantine, Standing
from springbridge.routing import giving_up
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_state import EndpointState
from springbridge.trials import Answer

from springbridge_node import clock
from springbridge_node.gateway.config.stored_quarantine import StoredQuarantine
from springbridge_node.gateway.peers.crash_sharing import CrashSharing
from springbridge_node.gateway.peers.trial_permits import TrialPermits
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.requests.gate_decisions import (
    ALLOWED,
    RESELECT,
    GateDecision,
    wait_for_trial,
)
from springbridge_node.gateway.requests.quarantine_log import QuarantineLog
from springbridge_node.gateway.requests.request_fingerprint import fingerprint_of


@dataclass(frozen=True)
class GateParts:
    """Dependencies of the gate.

    Attributes:
      incarnation: Incarnation of this instance.
    """

    incarnation: str
    quarantine: Quarantine
    sharing: CrashSharing
    permits: TrialPermits
    stored: StoredQuarantine
    log: QuarantineLog


class QuarantineGate:
    """Decides before each attempt whether its request may be sent, and records what came of it."""

    def __init__(self, parts: GateParts) -> None:
        """Keep the parts."""
        self._parts = parts
        self._records: CrashRecords = parts.quarantine.records
        self._refused_until_s: dict[str, float] = {}

    async def check(self, exchange: Exchange, choice: Choice | None) -> GateDecision:
        """Decide whether a request may be sent to the selected endpoint, as a trial if suspect.

        Args:
          choice: None if there is no endpoint, or only endpoints that run enough trials already.
        """
        avoided = exchange.progress.avoided
        if self._is_unsuspected(exchange):
            if choice is None and avoided:
                avoided.clear()
                return RESELECT
            return ALLOWED
        if choice is None:
            return await wait_for_trial(exchange) if avoided else ALLOWED
        until_s = self._refused_until_s.get(fingerprint_of(exchange), 0.0)
        if until_s > self._records.now_s():
            return self._reject(exchange, until_s - self._records.now_s())
        return await self._request_trial(exchange, choice)

    def _is_unsuspected(self, exchange: Exchange) -> bool:
        """Return whether a request is neither a suspect nor in quarantine."""
        if not len(self._records):
            return True
        found = self._parts.quarantine.verdict(fingerprint_of(exchange))
        return found.standing is Standing.FREE

    async def _request_trial(self, exchange: Exchange, choice: Choice) -> GateDecision:
        """Ask the coordinator for a trial of the request at the selected endpoint."""
        fingerprint = fingerprint_of(exchange)
        endpoint_id = choice.state.entry.endpoint_id
        # Unique among the trials of all instances, and the same until the request is sent.
        trial = f"{self._parts.incarnation}/{exchange.request_id}/{exchange.progress.sends}"
        left_s = exchange.admitted.deadline_s - clock.now_s()
        service = exchange.demand.service
        try:
            permission = await self._parts.permits.request(
                fingerprint, trial, service, endpoint_id, left_s
            )
        except asyncio.CancelledError:
            # The caller has disconnected; the trial may have been granted meanwhile.
            self._parts.permits.end(fingerprint, trial, service)
            raise
        match permission.answer:
            case Answer.GRANTED:
                return GateDecision(may_send=True, trial=trial)
            case Answer.ANOTHER_ENDPOINT:
                exchange.progress.avoided |= set(permission.avoided) | {endpoint_id}
                return RESELECT
            case Answer.WAIT:
                return await wait_for_trial(exchange)
            case Answer.QUARANTINED:
                until_s = self._records.now_s() + permission.wait_s
                self._refused_until_s[fingerprint] = until_s
                return self._reject(exchange, permission.wait_s)

    def _reject(self, exchange: Exchange, wait_s: float) -> GateDecision:
        """Return that the request is given up because it is in quarantine."""
        crashes = self._parts.quarantine.verdict(fingerprint_of(exchange)).crashes
        problem = giving_up.in_quarantine(exchange.attempts(), crashes, wait_s)
        return GateDecision(problem=problem)

    @contextlib.contextmanager
    def attempt(self, exchange: Exchange, decision: GateDecision) -> Iterator[None]:
        """Mark a trial, if there is one, as running during the block, and report its end after."""
        exchange.progress.on_trial = bool(decision.trial)
        try:
            yield
        finally:
            exchange.progress.on_trial = False
            self.give_back(exchange, decision)

    def give_back(self, exchange: Exchange, decision: GateDecision) -> None:
        """End a granted trial that does not take place."""
        if decision.trial:
            self._parts.permits.end(
                fingerprint_of(exchange), decision.trial, exchange.demand.service
            )

    def record_success(self, exchange: Exchange) -> None:
        """Clear a request, whose endpoint survived it, of the crashes recorded so far."""
        if not len(self._records):
            return
        fingerprint = fingerprint_of(exchange)
        before = self._parts.quarantine.verdict(fingerprint)
        if not self._records.acquit(fingerprint):
            return
        was_known = before.standing is not Standing.FREE
        self._parts.sharing.share(fingerprint, exchange.demand.service, was_known)
        self._refused_until_s.pop(fingerprint, None)
        if was_known:
            self._parts.log.acquitted(exchange, before)
        if before.standing is Standing.QUARANTINED:
            self._parts.stored.left(fingerprint)

    def record_crash(self, exchange: Exchange, state: EndpointState, on_trial: bool) -> None:
        """Record that the endpoint crashed while it ran the request."""
        fingerprint = fingerprint_of(exchange)
        entry = state.entry
        crash = crash_id(entry.endpoint_id, entry.born_ms)
        if not self._records.record_crash(fingerprint, crash, on_trial):
            return
        self._parts.sharing.share(fingerprint, exchange.demand.service)
        found = self._parts.quarantine.verdict(fingerprint)
        self._parts.log.crashed(exchange, entry, found, on_trial)
        if found.standing is Standing.QUARANTINED:
            self._parts.stored.entered(fingerprint)

    def forget_old(self) -> None:
        """Drop refusals and crash records that have expired."""
        now_s = self._records.now_s()
        self._refused_until_s = {
            name: until_s for name, until_s in self._refused_until_s.items() if until_s > now_s
        }
        for record in self._records.forget_old():
            if record.failed_trials:
                self._parts.stored.expired(record.fingerprint)
