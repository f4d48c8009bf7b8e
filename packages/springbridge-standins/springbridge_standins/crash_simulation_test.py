"""Properties of the quarantine over random crashes: which requests it refuses and which it serves.

The load: a service whose endpoints have a dozen requests each, pages that many callers request,
endpoints that crash on their own, and poison requests that crash every endpoint and are retried all
the time. The seeds are fixed, so that the result is the same in each run.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge_standins.crash_simulation import CrashSimulation, Scenario

SEEDS = 12
# The users' rule: the third crash may take this many seconds to reach all nodes; after that,
# endpoints may get at most this many retries of the request.
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
# With one poison request and no other crashes, no other request may be refused.
SINGLE_CAUSE = ("one", "one, three endpoints", "hot pages")


def outcomes(scenario):
    """Yield the result of a scenario with each seed."""
    for seed in range(SEEDS):
        yield CrashSimulation(scenario, seed).run()


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_poison_request_reaches_few_endpoints_after_its_third_crash(name):
    late = [
        outcome.late_starts(poison, PROPAGATION_S)
        for outcome in outcomes(SCENARIOS[name])
        for poison in outcome.crashes_s
    ]
    assert_that(len(late), GreaterThan(SEEDS - 1))
    assert_that(max(late), LessThan(MAX_RETRIES + 1))


@pytest.mark.parametrize("name", SINGLE_CAUSE)
def test_no_other_request_is_refused_beside_a_poison_request(name):
    refused = sum(
        sum(count for request, count in outcome.refused.items() if request not in outcome.crashes_s)
        for outcome in outcomes(SCENARIOS[name])
    )
    assert_that(refused, Equals(0))


def test_without_a_poison_request_few_are_refused_and_only_briefly():
    scenario = Scenario(poison=0, crashes_per_s=0.3)
    found = list(outcomes(scenario))
    requests = sum(outcome.served for outcome in found)
    refused = sum(len(outcome.refused) for outcome in found)
    assert_that(refused, LessThan(requests / 1000))
    longest_s = max((each for outcome in found for each in outcome.refused_for_s), default=0.0)
    # One pause after an inconclusive trial and the longest run of a request, and one retry.
    assert_that(longest_s, LessThan(5.0))


def test_while_no_endpoint_crashes_nothing_is_recorded():
    simulation = CrashSimulation(Scenario(poison=0), seed=1)
    simulation.run()
    assert_that(len(simulation.records), Equals(0))
