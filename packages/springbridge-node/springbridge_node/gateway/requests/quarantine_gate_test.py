"""Tests of quarantine_gate.py with stand-in peers: trials requested, crashes shared and stored."""

import asyncio
from types import SimpleNamespace

import pytest
from springbridge.crash_records import CrashRecords
from springbridge.part_quarantine import PartQuarantine
from springbridge.quarantine import Quarantine
from springbridge.recent_successes import RecentSuccesses
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import EndpointEntry, Route, WeightedService
from springbridge.routing.retries import AttemptOutcome
from springbridge.trials import GRANTED, Answer, Permission
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from springbridge_node import clock as node_clock
from springbridge_node.gateway.requests.crash_gate import CrashGate
from springbridge_node.gateway.requests.exchange import ChosenEndpoint, Progress
from springbridge_node.gateway.requests.part_gate import PartGate, PartGateParts
from springbridge_node.gateway.requests.quarantine_gate import GateParts, QuarantineGate

NAME = "f00d"
TARGET_S = 0.5


class Peers:
    """Stand-in for all parts that the gate calls; records the calls."""

    def __init__(self):
        self.answer = GRANTED
        self.hangs = False
        self.asked, self.ended, self.stored, self.shared = [], [], [], []

    async def request(self, fingerprint, trial, service, endpoint_id, left_s):
        """Answer a request for a trial as the coordinator would."""
        self.asked.append(trial)
        if self.hangs:
            await asyncio.sleep(60)
        return self.answer

    def end(self, fingerprint, trial, service):
        """Record the end of a trial."""
        self.ended.append(trial)

    def share(self, fingerprint, service, was_known=False):
        """Record a fingerprint that is shared with peers."""
        self.shared.append(fingerprint)

    def entered(self, fingerprint):
        """Record a fingerprint that the store has to keep."""
        self.stored.append(fingerprint)

    async def has_crashed(self, state, on_late_crash, sent_s):
        """Confirm the crash of the endpoint."""
        return True

    def crashed(self, exchange, endpoint_id, found, on_trial):
        """Log nothing."""


@pytest.fixture
def records():
    """Return records in which a request is a suspect."""
    found = CrashRecords(node_clock.now_s)
    for crash in (1, 2):
        found.record_crash(NAME, crash)
    return found


@pytest.fixture
def peers():
    """Return the peers and the store."""
    return Peers()


@pytest.fixture
def gate(records, peers):
    """Return the gate."""
    requests = QuarantineGate(GateParts("n1", Quarantine(records), peers, peers, peers, peers))
    part_records = CrashRecords(node_clock.now_s)
    parts = PartGate(
        PartGateParts(
            "n1",
            PartQuarantine(part_records, records),
            RecentSuccesses(node_clock.now_s),
            peers,
            peers,
            peers,
            peers,
        )
    )
    return CrashGate(requests, parts, peers)


@pytest.fixture
def exchange():
    """Return a request with the fingerprint of the suspect."""
    route = Route(
        "r", "h", "/", (WeightedService("model", 1),), False, True, False, target_s=TARGET_S
    )
    sent = ChosenEndpoint("i-1", None, 0, 0, 0, "", "", sent_s=0.0)
    progress = Progress(fingerprint=NAME, chosen=[sent])
    return SimpleNamespace(
        route=route,
        request_id="q",
        progress=progress,
        demand=SimpleNamespace(service="model", prompt_parts=()),
        admitted=SimpleNamespace(deadline_s=node_clock.now_s() + 5.0),
        attempts=lambda: SimpleNamespace(may_have_run=progress.may_have_run, endpoints_used=0),
    )


def choice_of(name):
    """Return the choice of an endpoint."""
    return SimpleNamespace(state=state_of(name))


def state_of(name):
    """Return an endpoint that is listed."""
    return EndpointState(EndpointEntry(name, "model", "10.0.0.1:1", "a", 4, False))


def test_a_caller_that_disconnects_while_a_trial_is_requested_ends_it(gate, peers, exchange):
    async def body():
        peers.hangs = True
        asking = asyncio.ensure_future(gate.check(exchange, choice_of("i-1")))
        await asyncio.sleep(0.01)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)

    asyncio.run(body())
    assert_that(peers.ended, Equals(peers.asked))


def test_each_attempt_of_a_request_is_a_trial_of_its_own(gate, peers, exchange):
    async def body():
        for _ in range(2):
            decision = await gate.check(exchange, choice_of("i-1"))
            with gate.attempt(exchange, decision):
                exchange.progress.sends += 1

    asyncio.run(body())
    assert_that(len(set(peers.asked)), Equals(2))
    assert_that(peers.ended, Equals(peers.asked))


def test_a_failed_trial_is_stored_even_if_already_in_quarantine(gate, peers, records, exchange):
    # Another request failed the same trial; its acquittal leaves this one as the cause.
    for crash in (1, 2):
        records.record_crash("page", crash)
    for name in (NAME, "page"):
        records.record_crash(name, 3, on_trial=True)
    records.acquit("page")

    async def body():
        with gate.attempt(exchange, await gate.check(exchange, choice_of("i-1"))):
            await gate.record_end(exchange, state_of("i-1"), AttemptOutcome.BROKEN)

    asyncio.run(body())
    assert_that(peers.stored, Equals([NAME]))


def test_a_quarantined_request_is_refused_without_asking_until_its_next_trial(
    gate, peers, exchange
):
    peers.answer = Permission(Answer.QUARANTINED, wait_s=20.0)

    async def body():
        return [await gate.check(exchange, choice_of("i-1")) for _ in range(3)]

    found = asyncio.run(body())
    assert_that([each.problem is None for each in found], Equals([False] * 3))
    assert_that(len(peers.asked), Equals(1))


def test_a_suspect_waits_no_longer_than_the_target_of_its_route(gate, peers, exchange):
    peers.answer = Permission(Answer.WAIT)

    async def body():
        begun_s = node_clock.now_s()
        while True:
            found = await gate.check(exchange, choice_of("i-1"))
            if found.problem is not None:
                return found.problem, node_clock.now_s() - begun_s

    problem, took_s = asyncio.run(body())
    assert_that(problem.retry_after_s, Not(Is(None)))
    # One poll interval beyond the target, and a margin for a busy machine.
    assert_that(TARGET_S < took_s < TARGET_S + 2.0, Is(True))


def test_a_request_acquitted_while_it_avoids_endpoints_selects_among_all(
    gate, peers, records, exchange
):
    exchange.progress.avoided.add("i-1")
    records.acquit(NAME)
    found = asyncio.run(gate.check(exchange, None))
    assert_that((found.may_send, found.problem), Equals((False, None)))
    assert_that(exchange.progress.avoided, Equals(set()))
