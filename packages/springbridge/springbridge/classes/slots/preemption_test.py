"""Tests of preemption.py: which running work is preempted."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.classes.entities import Tier
from springbridge.classes.slots.endpoint_slots import Running
from springbridge.classes.slots.preemption import (
    PREEMPT_TARGET_SHARE,
    choose_victim,
    preemptible_below,
    preempts_before_late,
)


@pytest.fixture
def run(make_slot_request):
    """Return a function that makes running work, which holds a slot."""

    def make(name, tier, since_s=0.0, stopping=False, **fields):
        return Running(make_slot_request(name, tier, **fields), since_s, 10.0, stopping)

    return make


def test_newest_work_of_the_lowest_tier_is_preempted(run):
    running = [
        run("old", Tier.BULK, 1.0),
        run("young", Tier.BULK, 2.0),
        run("younger but standard", Tier.STANDARD, 3.0),
    ]
    assert_that(
        choose_victim(running, Tier.URGENT, 1.0).slot_request.slot_request_id, Equals("young")
    )


@pytest.mark.parametrize("tier", Tier)
def test_work_of_the_same_or_a_higher_tier_is_not_preempted(run, tier):
    running = [run("one", upper, preemptible=True) for upper in Tier if upper <= tier]
    assert_that(choose_victim(running, tier, 1.0), Is(None))


def test_unpreemptible_work_is_not_preempted(run):
    running = [run("fixed", Tier.BULK, preemptible=False)]
    assert_that(choose_victim(running, Tier.URGENT, 1.0), Is(None))


def test_one_slot_that_is_given_back_serves_one_request(run):
    running = [run("stopping", Tier.BULK, stopping=True), run("other", Tier.BULK)]
    assert_that(choose_victim(running, Tier.URGENT, 1.0), Is(None))
    assert_that(
        choose_victim(running, Tier.URGENT, 2.0).slot_request.slot_request_id, Equals("other")
    )
    assert_that(
        [one.slot_request.slot_request_id for one in preemptible_below(running, Tier.URGENT)],
        Equals(["other"]),
    )


def test_slot_request_preempts_early_at_its_first_endpoint_only(make_slot_request):
    wait_s = PREEMPT_TARGET_SHARE + 0.01
    assert_that(preempts_before_late(make_slot_request("first", target_s=1.0), wait_s), Is(True))
    assert_that(
        preempts_before_late(make_slot_request("first", target_s=1.0), PREEMPT_TARGET_SHARE),
        Is(False),
    )
    assert_that(
        preempts_before_late(make_slot_request("second", target_s=1.0, primary=False), wait_s),
        Is(False),
    )
