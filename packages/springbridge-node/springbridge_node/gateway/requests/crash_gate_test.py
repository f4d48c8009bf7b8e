"""Tests of crash_gate.py: when it asks for a trial of parts."""

import asyncio
from types import SimpleNamespace

import pytest
from springbridge.routing.records import Route, WeightedService
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.requests.crash_gate import CrashGate
from springbridge_node.gateway.requests.exchange import Progress
from springbridge_node.gateway.requests.gate_decisions import RESELECT, GateDecision

CHOICE = SimpleNamespace()
ROUTE = Route("r", "h", "/", (WeightedService("model", 1),), False, True, False, max_endpoints=2)


class Gates:
    """Stand-in for both gates, of which that of parts lets nothing pass."""

    def __init__(self):
        """Start with no calls."""
        self.given_back, self.asked = [], 0

    def refuse(self, exchange):
        """Refuse nothing at once."""

    async def check(self, exchange, choice):
        """Grant a trial of the whole request."""
        return GateDecision(may_send=True, trial="n/q/0")

    def give_back(self, exchange, decision):
        """Record a trial that does not take place."""
        self.given_back.append(decision.trial)


class PartsThatWait(Gates):
    """A gate of parts that makes each request wait."""

    async def check(self, exchange, choice):
        """Count the call."""
        self.asked += 1
        return RESELECT


@pytest.fixture
def gates():
    """Return the gates of requests and of parts."""
    return Gates(), PartsThatWait()


def check(gates, sends):
    """Return the decision on a request that was sent some times."""
    exchange = SimpleNamespace(
        progress=Progress(sends=sends),
        route=ROUTE,
        attempts=lambda: SimpleNamespace(endpoints_used=sends),
    )
    return asyncio.run(CrashGate(*gates, None).check(exchange, CHOICE))


def test_a_trial_of_the_whole_request_is_given_back_while_its_parts_wait(gates):
    requests, parts = gates
    assert_that(check(gates, 0), Equals(RESELECT))
    assert_that((requests.given_back, parts.asked), Equals((["n/q/0"], 1)))


# Guards against trials that are granted to requests which are given up, while others wait for them.
def test_a_request_without_an_attempt_left_asks_for_no_trial(gates):
    _, parts = gates
    assert_that(check(gates, 2).may_send, Equals(True))
    assert_that(parts.asked, Equals(0))
