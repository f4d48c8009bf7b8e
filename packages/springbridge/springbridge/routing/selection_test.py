"""Tests of selection.py: the endpoint for an attempt, a refusal, or neither."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.conftest import MODEL, make_demand
from springbridge.routing.endpoint_choice import least_in_flight
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.selection import Selection, select

PROMPT = (("shared", 300), ("own", 900))


def fill(registry, count):
    for state in registry.candidates(MODEL, ()):
        for number in range(count):
            name = f"{state.entry.endpoint_id}-{number}"
            registry.apply_notice(LoadNotice(LoadPhase.STARTED, name, state.entry.endpoint_id))


def test_an_endpoint_that_was_tried_is_left_out(endpoints):
    tried = {"e0", "e1", "e2", "e3"}
    selection = select(endpoints, make_demand(PROMPT), tried, least_in_flight)
    assert_that(selection.choice.state.entry.endpoint_id, Equals("e4"))


def test_without_endpoints_there_is_no_choice(endpoints):
    demand = make_demand(PROMPT, service="other")
    assert_that(select(endpoints, demand, (), least_in_flight), Equals(Selection(None)))


def test_the_least_urgent_is_refused_while_all_endpoints_are_too_full(endpoints):
    fill(endpoints, 40)
    refused = select(endpoints, make_demand(PROMPT, priority=2), (), least_in_flight)
    urgent = select(endpoints, make_demand(PROMPT, priority=0), (), least_in_flight)
    assert_that((refused.overload.in_flight, urgent.overload), Equals((40, None)))


def test_a_request_that_was_sent_once_is_not_refused_for_overload(endpoints):
    fill(endpoints, 40)
    selection = select(endpoints, make_demand(PROMPT, priority=2), {"e0"}, least_in_flight)
    assert_that(selection.overload, Equals(None))


def test_endpoints_that_the_requesting_instance_avoids_are_left_out(endpoints):
    avoided = ["e0", "e1", "e2"]
    selection = select(endpoints, make_demand(PROMPT), {"e3"}, least_in_flight, avoided)
    assert_that(selection.choice.state.entry.endpoint_id, Equals("e4"))
