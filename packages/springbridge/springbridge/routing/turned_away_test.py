"""Tests that endpoints which turn every request away attract few requests.

A third of a model's endpoints answer at once that they do not run the request, as with broken
admission. Such an endpoint never has load, so it looks the cheapest for the next request. The test
uses 30 endpoints, 900 requests with a new prompt each, and at most two endpoints per request. On
running instances 7.7% of all requests were refused without the ejection, 3.6% with it.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from springbridge.routing.conftest import MODEL, make_demand
from springbridge.routing.endpoint_choice import by_token_cost
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadPhase
from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge.routing.retries import ENDPOINT_FAILURES, AttemptOutcome
from springbridge.routing.selection import select, start_notice

ENDPOINTS = 30
REQUESTS = 900
MAX_ENDPOINTS = 2
REQUESTS_PER_S = 60
RUNS_S = 0.5
# Share of the requests that may be refused. Until a broken endpoint has failed three times, and
# once whenever it is tried again, a request may meet two of them. Without ejection 91% are refused.
MAX_REFUSED_SHARE = 0.05
BROKEN = {f"e{number}" for number in range(0, ENDPOINTS, 3)}


@pytest.fixture
def registry(clock):
    """Return a registry of a model's endpoints."""
    registry = EndpointRegistry(clock)
    entries = tuple(
        EndpointEntry(f"e{number}", MODEL, f"10.0.0.{number + 1}:80", "perth-a", 64, False)
        for number in range(ENDPOINTS)
    )
    registry.install(EndpointSnapshot(1, entries), {MODEL: 500_000}, 0.0)
    return registry


def send(registry, clock, number, running):
    """Send one request to up to MAX_ENDPOINTS endpoints, and return whether one accepted it."""
    demand = make_demand((("shared", 0), (f"own-{number}", 900)))
    tried = set()
    for attempt in range(MAX_ENDPOINTS):
        choice = select(registry, demand, tried, by_token_cost).choice
        state = choice.state
        tried.add(state.entry.endpoint_id)
        if state.entry.endpoint_id not in BROKEN:
            notice = start_notice(choice, demand, f"me/{number}-{attempt}")
            registry.apply_notice(notice)
            registry.record_success(state)
            running.append((clock.now_s + RUNS_S, notice))
            return True
        if AttemptOutcome.TURNED_AWAY in ENDPOINT_FAILURES:
            registry.record_failure(state)
    return False


def end_old(registry, clock, running):
    """End the requests that have run for RUNS_S."""
    while running and running[0][0] <= clock.now_s:
        notice = running.pop(0)[1]
        for phase in (LoadPhase.READ, LoadPhase.ENDED):
            registry.apply_notice(type(notice)(phase, notice.attempt_id, notice.endpoint_id))


def test_endpoints_that_turn_all_away_get_few_requests_and_hardly_any_is_refused(registry, clock):
    running = []
    refused = 0
    for number in range(REQUESTS):
        clock.advance(1 / REQUESTS_PER_S)
        end_old(registry, clock, running)
        refused += not send(registry, clock, number, running)
    assert_that(refused / REQUESTS, LessThan(MAX_REFUSED_SHARE))
