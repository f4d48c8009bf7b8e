"""Properties of the quarantine over drawn crashes: whom it holds back, and what gets through.

The load: a service whose endpoints have a dozen requests each, pages that many ask for, endpoints
that end by themselves, and requests that end each endpoint and come again at every moment. Drawn
with fixed seeds, so that the verdict is the same each time; the counts are in the assertions.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge_standins.crash_simulation import CrashSimulation, Scenario

SEEDS = 12
# Seconds after the third end in which nodes may not know of it yet, and the retries that endpoints
# may get of the request after that: the users' rule.
PROPAGATION_S, MAX_RETRIES = 3.0, 3

SCENARIOS = {
    "one": Scenario(),
    "one, three endpoints": Scenario(endpoints=3, requests_per_s=5.0),
    "hot pages": Scenario(requests_per_s=2.0, pages=3, page_per_s=20.0),
    "one, endpoints end by themselves": Scenario(crashes_per_s=0.3),
    "two": Scenario(poison=2),
    "two, twenty endpoints": Scenario(
        endpoints=20, requests_per_s=40.0, poison=2, crashes_per_s=0.3
    ),
    "three, endpoints end by themselves": Scenario(poison=3, crashes_per_s=0.3),
    "two minutes": Scenario(duration_s=120.0, crashes_per_s=0.1),
}
# With one such request and no other endings nobody else may be taken for the cause.
SINGLE_CAUSE = ("one", "one, three endpoints", "hot pages")


def outcomes(scenario):
    """Yield what came of a scenario with each seed."""
    for seed in range(SEEDS):
        yield CrashSimulation(scenario, seed).run()


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_request_that_ends_endpoints_reaches_few_more(name):
    late = [
        outcome.late_starts(poison, PROPAGATION_S)
        for outcome in outcomes(SCENARIOS[name])
        for poison in outcome.crashes_s
    ]
    assert_that(len(late), GreaterThan(SEEDS - 1))
    assert_that(max(late), LessThan(MAX_RETRIES + 1))


@pytest.mark.parametrize("name", SINGLE_CAUSE)
def test_no_other_request_is_refused_beside_it(name):
    refused = sum(
        sum(count for request, count in outcome.refused.items() if request not in outcome.crashes_s)
        for outcome in outcomes(SCENARIOS[name])
    )
    assert_that(refused, Equals(0))


def test_without_such_a_request_few_are_refused_and_only_for_moments():
    scenario = Scenario(poison=0, crashes_per_s=0.3)
    found = list(outcomes(scenario))
    requests = sum(outcome.served for outcome in found)
    refused = sum(len(outcome.refused) for outcome in found)
    assert_that(refused, LessThan(requests / 1000))
    longest_s = max((each for outcome in found for each in outcome.refused_for_s), default=0.0)
    # One pause of a doubtful trial and the longest run of a request, with a try in between.
    assert_that(longest_s, LessThan(5.0))


def test_while_no_endpoint_ends_nothing_is_recorded():
    simulation = CrashSimulation(Scenario(poison=0), seed=1)
    simulation.run()
    assert_that(len(simulation.records), Equals(0))
