"""Keeps prompts with parts that crash endpoints away from them.

A part of prompts that was in several crashes is a suspect: a request with it is sent only as a
trial, which a coordinator has to grant, and is refused while what it holds is in quarantine. The
rules are in `springbridge.part_quarantine` and `springbridge.part_trials`; this module applies them
before each attempt. While no endpoint crashes there are no records, and a request costs one
comparison here, and one entry among the recent successes.

What shows that an endpoint survives a part: an answer that is whole, or events of one for PROOF_S.
An endpoint crashes when it begins to write an answer, so what comes before shows nothing, nor does
a refusal or a failure of its own. Where the connection alone marks the end of an answer, the end of
the endpoint may look the same, so that such an answer counts once its endpoint has outlived it by
PROOF_S.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

from springbridge.crash_records import crash_id
from springbridge.part_quarantine import PartQuarantine, PartVerdict
from springbridge.part_trials import PARTS_ROLE
from springbridge.prompt_parts import part_key, shared_part_ids
from springbridge.quarantine import SUSPECT_CRASHES, Standing
from springbridge.recent_successes import RecentSuccesses
from springbridge.routing import giving_up
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.retries import AttemptOutcome
from springbridge.trials import Answer

from springbridge_node import clock
from springbridge_node.gateway.config.stored_quarantine import StoredQuarantine
from springbridge_node.gateway.http.answer_end import AnswerEnd
from springbridge_node.gateway.peers.crash_sharing import CrashSharing
from springbridge_node.gateway.peers.part_permits import PartPermits
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.requests.gate_decisions import (
    ALLOWED,
    RESELECT,
    GateDecision,
    wait_for_trial,
)
from springbridge_node.gateway.requests.part_log import PartLog

# Seconds for which an endpoint has to write an answer to show that it survives the parts of the
# prompt. It crashes within some tenths of a second if it does not.
PROOF_S = 1.0
# Seconds between two checks whether a trial has shown that.
PROOF_POLL_S = 0.1
# Ends that show that an answer is whole.
WHOLE_ENDS = frozenset({AnswerEnd.LENGTH, AnswerEnd.LAST_CHUNK, AnswerEnd.RUN_GOES_ON})


@dataclass(frozen=True)
class PartGateParts:
    """Dependencies of the gate.

    Attributes:
      incarnation: Incarnation of this instance.
    """

    incarnation: str
    quarantine: PartQuarantine
    successes: RecentSuccesses
    sharing: CrashSharing
    permits: PartPermits
    stored: StoredQuarantine
    log: PartLog


class PartGate:
    """Decides before each attempt whether its prompt may be sent, and records what came of it."""

    def __init__(self, parts: PartGateParts) -> None:
        """Keep the parts."""
        self._parts = parts
        self._records = parts.quarantine.records
        self._asked: set[str] = set()

    def verdict(self, exchange: Exchange) -> PartVerdict | None:
        """Return the decision on a request by its parts, None if nothing speaks against them."""
        if not len(self._records):
            return None
        found = self._parts.quarantine.verdict(keys_of(exchange))
        return None if found.standing is Standing.FREE else found

    def needs_trial(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent only as a trial of its parts."""
        return self.verdict(exchange) is not None

    def refuse(self, exchange: Exchange) -> GateDecision | None:
        """Return the refusal of a request whose parts are in quarantine, else None."""
        found = self.verdict(exchange)
        if found is None:
            return None
        wait_s = found.due_s - self._records.now_s()
        return self._reject(exchange, found, wait_s) if wait_s > 0 else None

    async def check(self, exchange: Exchange, choice: Choice) -> GateDecision:
        """Decide whether a request may be sent to the selected endpoint, as a trial if need be."""
        found = self.verdict(exchange)
        if found is None:
            return ALLOWED
        if not self._asked.isdisjoint(found.suspects):
            return await wait_for_trial(exchange)
        self._asked |= found.suspects
        try:
            decision = await self._request_trial(exchange, choice, found)
        finally:
            self._asked -= found.suspects
        if decision is not None:
            return decision
        return await wait_for_trial(exchange)

    async def _request_trial(
        self, exchange: Exchange, choice: Choice, found: PartVerdict
    ) -> GateDecision | None:
        """Ask the coordinator for a trial at the selected endpoint; None if it has to wait."""
        keys = keys_of(exchange)
        endpoint_id = choice.state.entry.endpoint_id
        # Unique among the trials of all instances, and the same until the request is sent.
        trial = f"{self._parts.incarnation}/{exchange.request_id}/{exchange.progress.sends}"
        left_s = exchange.admitted.deadline_s - clock.now_s()
        try:
            permission = await self._parts.permits.request(
                keys, trial, exchange.demand.service, endpoint_id, left_s
            )
        except asyncio.CancelledError:
            # The caller has disconnected; the trial may have been granted meanwhile.
            self._parts.permits.end(keys, trial)
            raise
        match permission.answer:
            case Answer.GRANTED:
                self._parts.log.on_trial(exchange, endpoint_id, found)
                return GateDecision(may_send=True, part_trial=trial)
            case Answer.ANOTHER_ENDPOINT:
                exchange.progress.avoided |= set(permission.avoided) | {endpoint_id}
                return RESELECT
            case Answer.WAIT:
                return None
            case Answer.QUARANTINED:
                return self._reject(exchange, found, permission.wait_s)

    def _reject(self, exchange: Exchange, found: PartVerdict, wait_s: float) -> GateDecision:
        """Return that the request is given up because its parts are in quarantine."""
        self._parts.log.refused()
        problem = giving_up.with_quarantined_parts(exchange.attempts(), found.crashes, wait_s)
        return GateDecision(problem=problem)

    @contextlib.contextmanager
    def attempt(self, exchange: Exchange, decision: GateDecision) -> Iterator[None]:
        """Mark a trial, if there is one, as running during the block, and report its end after."""
        if not decision.part_trial:
            yield
            return
        found = self.verdict(exchange)
        exchange.progress.parts_on_trial = frozenset() if found is None else found.suspects
        proof = asyncio.ensure_future(self._await_proof(exchange))
        try:
            yield
        finally:
            proof.cancel()
            exchange.progress.parts_on_trial = frozenset()
            self._parts.permits.end(keys_of(exchange), decision.part_trial)

    async def _await_proof(self, exchange: Exchange) -> None:
        """Record the success of a trial as soon as its endpoint has written for PROOF_S."""
        while not has_proved(exchange):
            await asyncio.sleep(PROOF_POLL_S)
        self.record_success(exchange)

    def record_end(self, exchange: Exchange, end: AttemptOutcome) -> None:
        """Record what the end of an attempt shows of its parts, unless it broke by a crash."""
        is_delivered = end is AttemptOutcome.DELIVERED and is_success(exchange)
        answer_end = exchange.progress.answer_end
        if has_proved(exchange) or is_delivered and answer_end in WHOLE_ENDS:
            self.record_success(exchange)

    def record_success(self, exchange: Exchange) -> None:
        """Clear the parts of a prompt, whose endpoint survived them, of the crashes so far."""
        self._parts.successes.record(exchange.demand.prompt_parts)
        if not len(self._records):
            return
        for key in keys_of(exchange):
            record = self._records.find(key)
            if record is not None and record.counted:
                self._clear(exchange, key)

    def _clear(self, exchange: Exchange, key: str) -> None:
        """Clear a part, and tell peers and the store."""
        record = self._records.find(key)
        self._records.acquit(key)
        self._parts.sharing.share_success(key, PARTS_ROLE)
        if len(record.counted) >= SUSPECT_CRASHES:
            self._parts.log.cleared(exchange, key, len(record.counted))
        if record.failed_trials:
            self._parts.stored.left(key)

    def record_crash(
        self, exchange: Exchange, state: EndpointState, parts_on_trial: frozenset[str]
    ) -> None:
        """Record that the endpoint crashed while it ran the request.

        Args:
          parts_on_trial: Keys of the parts that the attempt was a trial of.
        """
        if has_proved(exchange):
            return
        entry = state.entry
        crash = crash_id(entry.endpoint_id, entry.born_ms)
        changed = [
            key
            for key in keys_of(exchange)
            if not self._parts.quarantine.is_credited(key)
            and self._records.record_crash(key, crash, key in parts_on_trial)
        ]
        if not changed:
            return
        for key in changed:
            self._parts.sharing.share(key, PARTS_ROLE)
        found = self._parts.quarantine.verdict(keys_of(exchange))
        self._parts.log.crashed(exchange, entry, found, changed)
        if found.standing is Standing.QUARANTINED:
            for key in found.suspects:
                self._parts.stored.entered(key)

    def forget_old(self) -> None:
        """Drop crash records that have expired."""
        for record in self._records.forget_old():
            if record.failed_trials:
                self._parts.stored.expired(record.fingerprint)


def keys_of(exchange: Exchange) -> tuple[str, ...]:
    """Return the keys of the parts of a prompt that it may share, computed at the first call."""
    progress = exchange.progress
    if progress.part_keys is None:
        progress.part_keys = tuple(map(part_key, shared_part_ids(exchange.demand.prompt_parts)))
    return progress.part_keys


def is_success(exchange: Exchange) -> bool:
    """Return whether the endpoint has answered with success, so that it wrote an answer."""
    return HTTPStatus.OK <= exchange.progress.answer_status < HTTPStatus.MULTIPLE_CHOICES


def has_proved(exchange: Exchange) -> bool:
    """Return whether the endpoint has written events of the answer for PROOF_S."""
    began_s = exchange.progress.answer_began_s
    return began_s is not None and clock.now_s() >= began_s + PROOF_S
