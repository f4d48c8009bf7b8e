"""Tests of admission.py: route, customer, service, priority and deadline of a request."""

from dataclasses import replace

import pytest
from returns.result import Failure
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from springbridge.codes import Code
from springbridge.routing.admission import RouteIndex, admit, find_route, pick_service
from springbridge.routing.conftest import MODEL, make_arrival, make_route
from springbridge.routing.records import Configuration, CustomerKeys, Service, WeightedService
from springbridge.routing.retry_after import without_configuration

CUSTOMERS = (CustomerKeys("councils", ("key-1",), 1), CustomerKeys("airports", ("key-2",)))
DUE_S = without_configuration(store_is_up=True)


def index_of(*routes, customers=CUSTOMERS):
    services = {MODEL: Service(MODEL, "/healthz", 100)}
    return RouteIndex.from_config(Configuration(7, routes, services, customers))


def test_the_longest_prefix_of_the_host_wins():
    index = index_of(make_route("short", "/a/"), make_route("long", "/a/b/"))
    assert_that(find_route(index, "desk.example", "/a/b/c").name, Equals("long"))
    assert_that(find_route(index, "DESK.example:80", "/a/c").name, Equals("short"))
    assert_that(find_route(index, "other.example", "/a/c"), Equals(None))
    assert_that(find_route(index, "desk.example", "/a"), Equals(None))


@pytest.mark.parametrize(
    ("index", "arrival", "code"),
    [
        (None, make_arrival(), Code.CONFIG_NOT_FRESH),
        (index_of(), make_arrival(), Code.UNKNOWN_PATH),
        (index_of(make_route()), make_arrival(key="wrong"), Code.UNKNOWN_KEY),
        (index_of(make_route()), make_arrival(key=None), Code.UNKNOWN_KEY),
    ],
)
def test_what_the_configuration_does_not_allow_is_refused_with_its_code(index, arrival, code):
    result = admit(index, arrival, DUE_S)
    assert isinstance(result, Failure)
    assert_that(result.failure().code, Equals(code))


def test_before_the_first_configuration_the_refusal_says_when_to_come_back():
    assert_that(admit(None, make_arrival(), DUE_S).failure().retry_after_s, GreaterThan(0.0))
    assert_that(admit(None, make_arrival(), 3.0).failure().retry_after_s, Equals(3.0))


def test_a_public_route_needs_no_key_and_has_no_customer():
    found = admit(index_of(make_route(needs_key=False)), make_arrival(key=None), DUE_S).unwrap()
    assert_that((found.customer, found.version), Equals(("", 7)))


def test_the_customer_s_priority_outranks_the_route_s():
    index = index_of(make_route(priority=4))
    assert_that(admit(index, make_arrival(key="key-1"), DUE_S).unwrap().priority, Equals(1))
    assert_that(admit(index, make_arrival(key="key-2"), DUE_S).unwrap().priority, Equals(4))


@pytest.mark.parametrize(
    ("caller_timeout_s", "deadline_s"), [(None, 1003.0), (1.0, 1001.0), (9.0, 1003.0)]
)
def test_the_deadline_is_the_earlier_of_caller_and_route(caller_timeout_s, deadline_s):
    found = admit(
        index_of(make_route()), make_arrival(caller_timeout_s=caller_timeout_s), DUE_S
    ).unwrap()
    assert_that(found.deadline_s, Equals(deadline_s))


def test_a_split_route_sends_by_weight_and_never_to_a_weight_of_zero():
    route = make_route(services=(WeightedService("a", 90), WeightedService("b", 10)))
    counts = [pick_service(route, f"q{number}") for number in range(1000)].count("b")
    assert_that(60 < counts < 140, Equals(True))
    alone = make_route(services=(WeightedService("a", 0), WeightedService("b", 1)))
    assert_that({pick_service(alone, f"q{number}") for number in range(100)}, Equals({"b"}))


def test_without_any_customer_no_key_is_needed():
    found = admit(index_of(make_route(), customers=()), make_arrival(key=None), DUE_S).unwrap()
    assert_that(found.customer, Equals(""))


# Guards against opening every route to all callers by removing the last customer.
@pytest.mark.parametrize("key", [None, "key-1"])
def test_where_operators_keep_customers_taking_away_the_last_one_opens_nothing(key):
    index = index_of(make_route(), customers=())
    kept = replace(index, configuration=replace(index.configuration, keeps_customers=True))
    refused = admit(kept, make_arrival(key=key), DUE_S).failure()
    assert_that(refused.code, Is(Code.UNKNOWN_KEY))


def test_a_service_that_the_configuration_does_not_describe_gets_the_fewest_connections():
    route = make_route(services=(WeightedService("other", 1.0),))
    found = admit(index_of(route), make_arrival(), DUE_S).unwrap()
    assert_that((found.service.name, found.service.max_connections), Equals(("other", 1)))
