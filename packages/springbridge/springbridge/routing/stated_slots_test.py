"""Tests of stated_slots.py.

Guards against an odd entry that draws most of the requests of its service by the slots it states.
"""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from springbridge.routing.endpoint_choice import least_in_flight
from springbridge.routing.endpoint_state import EndpointState, Load
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot
from springbridge.routing.stated_slots import BoundedSlots, with_bounded_slots

VAST = 2**63 - 1
# Requests of a test, how many run at a time, and how many times its fair share an endpoint may get.
REQUESTS, RUNNING, MAX_SHARE = 4000, 40, 1.5


def snapshot_of(*slots, service="desk"):
    """Return a list of endpoints with these slots."""
    entries = tuple(
        EndpointEntry(f"i-{number}", service, f"10.0.0.{number}:80", "perth-a", each, False)
        for number, each in enumerate(slots)
    )
    return EndpointSnapshot(1, entries)


def slots_of(snapshot):
    """Return the slots of each endpoint."""
    return [entry.slots for entry in snapshot.entries]


@pytest.mark.parametrize(
    ("stated", "used"),
    [
        ((4,), (4,)),
        ((VAST,), (VAST,)),
        ((4, VAST), (4, 6)),
        ((VAST, 4), (6, 4)),
        ((4, VAST, 4), (4, 6, 4)),
        ((8, 64, 64, 8), (8, 64, 64, 8)),
        ((1, 1, VAST), (1, 1, 1)),
        ((32, 48, 32), (32, 48, 32)),
    ],
)
def test_slots_far_above_those_of_the_service_are_bounded(stated, used):
    found, bounded = with_bounded_slots(snapshot_of(*stated))
    assert_that(slots_of(found), Equals(list(used)))
    expected = [
        BoundedSlots(f"i-{number}", one, other)
        for number, (one, other) in enumerate(zip(stated, used, strict=True))
        if one != other
    ]
    assert_that(list(bounded), Equals(expected))


def test_services_are_bounded_apart():
    both = snapshot_of(4, 4, 4).entries + snapshot_of(64, 64, 64, service="model").entries
    found, bounded = with_bounded_slots(EndpointSnapshot(1, both))
    assert_that((slots_of(found), bounded), Equals(([4, 4, 4, 64, 64, 64], ())))


# Guards against an entry with vast slots that gets half of the requests of its service.
@pytest.mark.parametrize("count", [3, 4, 10, 45])
def test_vast_slots_draw_a_bounded_share_of_the_requests(count):
    rng = random.Random(count)
    found, _ = with_bounded_slots(snapshot_of(VAST, *[4] * (count - 1)))
    states = [EndpointState(entry) for entry in found.entries]
    running, drawn = [], 0
    for number in range(REQUESTS):
        demand = Demand(f"r{number}", "desk", "perth-a", 1, 1.0)
        state = least_in_flight(states, demand, 0.0).state
        state.loads[f"r{number}"] = Load(0, 0.0)
        running.append((state, f"r{number}"))
        drawn += state is states[0]
        if len(running) > RUNNING:
            ended, name = running.pop(rng.randrange(len(running)))
            del ended.loads[name]
    assert_that(drawn / REQUESTS, LessThan(MAX_SHARE / count + 0.02))
