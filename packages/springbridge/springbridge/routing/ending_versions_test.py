"""Tests of ending_versions.py: which endpoints new requests choose from during a rollout."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.conftest import MODEL, make_demand
from springbridge.routing.ending_versions import without_ending_versions
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.records import EndpointEntry

PROMPT = (("shared", 900), ("own", 300))


def states_of(*versions, cold=()):
    """Return endpoints with some versions, named by their place."""
    return [
        EndpointState(
            EndpointEntry(
                f"e{number}",
                MODEL,
                "10.0.0.1:80",
                "a",
                4,
                False,
                version=version,
                cold=number in cold,
            )
        )
        for number, version in enumerate(versions)
    ]


def fill(state):
    """Give an endpoint as many requests as it takes."""
    for number in range(8):
        notice = LoadNotice(LoadPhase.STARTED, f"me/{number}", state.entry.endpoint_id, 10)
        state.record_start(notice, 0.0)


def chosen_from(states, leaving):
    """Return the names of the endpoints that a new request chooses from."""
    found = without_ending_versions(states, leaving, make_demand(PROMPT), 0.0)
    return [state.entry.endpoint_id for state in found]


# Guards against streams that begin at the last endpoints of a version, and cannot go on.
@pytest.mark.parametrize(
    ("versions", "leaving", "expected"),
    [
        (("v1", "v1"), ("v1",), ["e0", "e1"]),
        (("v1", "v1", "v2"), (), ["e0", "e1", "e2"]),
        (("v1", "v1", "v2"), ("v1",), ["e0", "e1", "e2"]),
        (("v1", "v2"), ("v1",), ["e0", "e1"]),
        (("v1", "v2", "v2"), ("v1",), ["e1", "e2"]),
        (("v1", "v2", "v2", "v3"), ("v1", "v3"), ["e1", "e2"]),
        (("v2",), ("v1",), ["e0"]),
        ((None, "v2", "v2"), (None,), ["e1", "e2"]),
    ],
)
def test_new_requests_leave_the_endpoints_of_a_version_that_is_replaced(
    versions, leaving, expected
):
    assert_that(chosen_from(states_of(*versions), states_of(*leaving)), Equals(expected))


def test_the_endpoints_of_an_ending_version_are_used_if_no_other_has_room():
    states = states_of("v1", "v2", "v2")
    fill(states[1])
    assert_that(chosen_from(states, states_of("v1")), Equals(["e1", "e2"]))
    fill(states[2])
    assert_that(chosen_from(states, states_of("v1")), Equals(["e0", "e1", "e2"]))


def test_cold_endpoints_are_no_room():
    states = states_of("v1", "v2", "v2", cold=(1, 2))
    assert_that(chosen_from(states, states_of("v1")), Equals(["e0", "e1", "e2"]))
