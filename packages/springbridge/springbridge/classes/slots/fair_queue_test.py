"""Tests of fair_queue.py: properties of the order."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.classes.entities import Tier
from springbridge.classes.slots.fair_queue import MIN_SHARE_GRANTS, FairQueue
from springbridge.conftest import PLAIN_SLOT_REQUEST

PROPERTY = settings(derandomize=True, max_examples=60, deadline=None)


def slot_request(name, tier, customer, weight=1.0):
    fields = {**PLAIN_SLOT_REQUEST.__dict__, "slot_request_id": name, "tier": tier}
    return type(PLAIN_SLOT_REQUEST)(**{**fields, "customer": customer, "weight": weight})


def drain(queue):
    while (tier := queue.next_tier()) is not None:
        yield queue.pop(tier)


@PROPERTY
@given(st.lists(st.tuples(st.sampled_from(list(Tier)), st.integers(0, 3)), max_size=60))
def test_every_slot_request_is_served_once(entries):
    queue = FairQueue()
    for number, (tier, customer) in enumerate(entries):
        queue.push(slot_request(str(number), tier, str(customer)), 10.0, 0.0)
    out = [one.slot_request_id for one in drain(queue)]
    assert_that(sorted(out), Equals(sorted(str(number) for number in range(len(entries)))))
    assert_that(len(queue), Equals(0))
    assert_that(abs(queue.load_ahead(Tier.BULK)), LessThan(1e-6))


@PROPERTY
@given(st.integers(1, 9), st.integers(1, 9))
def test_service_follows_weights(first, second):
    queue = FairQueue()
    for number in range(200):
        queue.push(slot_request(f"a{number}", Tier.STANDARD, "a", float(first)), 10.0, 0.0)
        queue.push(slot_request(f"b{number}", Tier.STANDARD, "b", float(second)), 10.0, 0.0)
    served = Counter(queue.pop(Tier.STANDARD).customer for _ in range(100))
    wanted = 100 * first / (first + second)
    assert_that(abs(served["a"] - wanted), LessThan(3.0))


@PROPERTY
@given(st.integers(30, 200))
def test_higher_tier_goes_first_but_for_the_minimum_share(urgent):
    queue = FairQueue()
    for number in range(urgent):
        queue.push(slot_request(f"u{number}", Tier.URGENT, "a"), 10.0, 0.0)
    for number in range(50):
        queue.push(slot_request(f"b{number}", Tier.BULK, "b"), 10.0, 0.0)
    order = [one.tier for one in drain(queue)]
    first_part = order[: urgent + urgent // (MIN_SHARE_GRANTS + 1)]
    lower = sum(tier is Tier.BULK for tier in first_part)
    assert_that(order[:MIN_SHARE_GRANTS], Equals([Tier.URGENT] * MIN_SHARE_GRANTS))
    assert_that(lower, Equals(len(first_part) // (MIN_SHARE_GRANTS + 1)))
    assert_that(lower, GreaterThan(0))


def test_discarded_slot_request_is_never_served():
    queue = FairQueue()
    queue.push(slot_request("a", Tier.URGENT, "a"), 10.0, 0.0)
    queue.push(slot_request("b", Tier.URGENT, "a"), 10.0, 0.0)
    queue.discard("a")
    assert_that([one.slot_request_id for one in drain(queue)], Equals(["b"]))


def test_idle_flow_gets_no_credit_for_the_past():
    queue = FairQueue()
    for number in range(50):
        queue.push(slot_request(f"a{number}", Tier.STANDARD, "a"), 10.0, 0.0)
    for _ in range(40):
        queue.pop(Tier.STANDARD)
    for number in range(20):
        queue.push(slot_request(f"b{number}", Tier.STANDARD, "b"), 10.0, 0.0)
    served = Counter(queue.pop(Tier.STANDARD).customer for _ in range(10))
    assert_that(served["b"], LessThan(7))
