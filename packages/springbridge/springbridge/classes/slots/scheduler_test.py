"""Tests of scheduler.py: one for each rule, and a long random run with the invariants."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from springbridge.classes.decisions import (
    Grant,
    Inventory,
    Outcome,
    Preemption,
    Queued,
    Refusal,
    Release,
    Sample,
)
from springbridge.classes.endpoint_health import FIRST_SUSPENSION_S
from springbridge.classes.entities import Tier
from springbridge.classes.slots.concurrency import MIN_UTILIZATION_TO_RAISE
from springbridge.classes.slots.minimum_share import OVERLOAD_S
from springbridge.classes.slots.scheduler import INVENTORY_LAG_S, EndpointScheduler

SLOTS = 4


@pytest.fixture
def scheduler(clock, invariants):
    """Return a scheduler whose endpoint takes SLOTS requests."""
    found = EndpointScheduler("me", "engine-1", 100_000, clock, invariants)
    for limit in found.limits.tiers.values():
        limit.limit = float(SLOTS)
        limit.learnt_s = clock()
    return found


def release(slot_request_id, outcome=Outcome.DONE):
    return Release(slot_request_id, outcome, Sample(slot_request_id, 0.0, 0.0, 10))


def fill(scheduler, make_slot_request, tier, **fields):
    for number in range(SLOTS):
        scheduler.request_slot(make_slot_request(f"{tier.name}-{number}", tier, **fields))


def of_type(decisions, kind):
    return [decision.slot_request_id for decision in decisions if isinstance(decision, kind)]


def test_free_slot_is_granted_at_once(scheduler, make_slot_request):
    decisions = scheduler.request_slot(make_slot_request("a"))
    assert_that(decisions, Equals([Grant("a", "node-1", "me", 1 / SLOTS)]))


def test_repeated_slot_request_changes_nothing(scheduler, make_slot_request):
    scheduler.request_slot(make_slot_request("a"))
    assert_that(of_type(scheduler.request_slot(make_slot_request("a")), Grant), Equals(["a"]))
    assert_that(scheduler.running, HasLength(1))


def test_tiers_are_strict(scheduler, make_slot_request):
    fill(scheduler, make_slot_request, Tier.URGENT)
    scheduler.request_slot(make_slot_request("bulk", Tier.BULK))
    scheduler.request_slot(make_slot_request("standard", Tier.STANDARD))
    scheduler.request_slot(make_slot_request("urgent"))
    order = [of_type(scheduler.release(release(f"URGENT-{n}")), Grant) for n in range(3)]
    assert_that(order, Equals([["urgent"], ["standard"], ["bulk"]]))


def test_urgent_request_preempts_the_lowest_tier(scheduler, make_slot_request, clock):
    scheduler.request_slot(make_slot_request("standard", Tier.STANDARD))
    for number in range(SLOTS - 1):
        clock.advance(0.01)
        scheduler.request_slot(make_slot_request(f"bulk-{number}", Tier.BULK))
    decisions = scheduler.request_slot(make_slot_request("urgent", target_s=0.5))
    assert_that(of_type(decisions, Preemption), Equals([f"bulk-{SLOTS - 2}"]))
    freed = scheduler.release(release(f"bulk-{SLOTS - 2}", Outcome.CANCELLED))
    assert_that(of_type(freed, Grant), Equals(["urgent"]))


def test_bulk_preempts_nobody(scheduler, make_slot_request):
    fill(scheduler, make_slot_request, Tier.STANDARD)
    decisions = scheduler.request_slot(make_slot_request("bulk", Tier.BULK))
    assert_that(of_type(decisions, Preemption), HasLength(0))


def test_slot_request_preempts_at_its_first_endpoint_only(scheduler, make_slot_request):
    fill(scheduler, make_slot_request, Tier.BULK)
    decisions = scheduler.request_slot(make_slot_request("urgent", fan=5, primary=False))
    assert_that(of_type(decisions, Preemption), HasLength(0))


def test_late_slot_request_preempts_at_every_endpoint(scheduler, make_slot_request, clock):
    fill(scheduler, make_slot_request, Tier.BULK)
    scheduler.request_slot(make_slot_request("urgent", fan=5, primary=False))
    clock.advance(0.6)
    assert_that(of_type(scheduler.tick(), Preemption), HasLength(1))


def test_too_long_a_wait_is_refused_at_once(scheduler, make_slot_request):
    fill(scheduler, make_slot_request, Tier.URGENT)
    decisions = scheduler.request_slot(make_slot_request("late", max_wait_s=0.01))
    assert_that(of_type(decisions, Refusal), Equals(["late"]))
    assert_that(decisions[0].retry_after_s, GreaterThan(0.0))


def test_expired_slot_request_is_refused(scheduler, make_slot_request, clock):
    fill(scheduler, make_slot_request, Tier.URGENT)
    assert_that(
        of_type(scheduler.request_slot(make_slot_request("waits")), Queued), Equals(["waits"])
    )
    clock.advance(10.1)
    assert_that(of_type(scheduler.tick(), Refusal), Equals(["waits"]))


def test_lower_tiers_are_cleared_before_the_top_tier_is_refused(scheduler, make_slot_request):
    fill(scheduler, make_slot_request, Tier.URGENT)
    scheduler.request_slot(make_slot_request("bulk", Tier.BULK, max_wait_s=1e6))
    scheduler.request_slot(make_slot_request("standard", Tier.STANDARD, max_wait_s=1e6))
    decisions = scheduler.request_slot(make_slot_request("urgent", max_wait_s=0.01))
    assert_that(of_type(decisions, Refusal), Equals(["bulk", "standard", "urgent"]))


def test_lower_tiers_may_not_wait_while_the_top_tier_is_refused(
    scheduler, make_slot_request, clock
):
    fill(scheduler, make_slot_request, Tier.URGENT)
    scheduler.request_slot(make_slot_request("urgent", max_wait_s=0.01))
    first = scheduler.request_slot(make_slot_request("bulk-1", Tier.BULK, max_wait_s=1e6))
    second = scheduler.request_slot(make_slot_request("bulk-2", Tier.BULK, max_wait_s=1e6))
    assert_that(of_type(first, Grant), Equals(["bulk-1"]))
    assert_that(of_type(second, Refusal), Equals(["bulk-2"]))
    clock.advance(OVERLOAD_S + 0.1)
    third = scheduler.request_slot(make_slot_request("bulk-3", Tier.BULK, max_wait_s=1e6))
    assert_that(of_type(third, Queued), Equals(["bulk-3"]))


def test_extra_slot_goes_to_the_class_that_lacked_it_longest(scheduler, make_slot_request, clock):
    served = []
    fill(scheduler, make_slot_request, Tier.URGENT)
    for number in range(40):
        scheduler.request_slot(make_slot_request(f"urgent-{number}", max_wait_s=0.01))
        for name in ("tagging", "matching"):
            slot_request = make_slot_request(
                f"{name}-{number}", Tier.BULK, request_class=name, max_wait_s=1e6
            )
            for granted in of_type(scheduler.request_slot(slot_request), Grant):
                served.append(granted.partition("-")[0])
                clock.advance(0.5)
                scheduler.release(release(granted))
        clock.advance(0.5)
    assert_that(served.count("tagging"), GreaterThan(10))
    assert_that(served.count("matching"), GreaterThan(10))


def test_unpreemptible_lower_tier_work_leaves_the_last_slot(scheduler, make_slot_request):
    for number in range(SLOTS):
        scheduler.request_slot(make_slot_request(f"fixed-{number}", Tier.BULK, preemptible=False))
    assert_that(scheduler.running, HasLength(SLOTS - 1))
    assert_that(
        of_type(scheduler.request_slot(make_slot_request("urgent")), Grant), Equals(["urgent"])
    )


def test_memory_bounds_what_runs(scheduler, make_slot_request):
    scheduler.request_slot(make_slot_request("big", prompt_tokens=99_000))
    decisions = scheduler.request_slot(make_slot_request("next", prompt_tokens=5_000))
    assert_that(of_type(decisions, Grant), HasLength(0))


def test_oversized_slot_request_runs_alone(scheduler, make_slot_request):
    decisions = scheduler.request_slot(make_slot_request("huge", prompt_tokens=500_000))
    assert_that(of_type(decisions, Grant), Equals(["huge"]))


def test_failing_endpoint_is_suspended_and_probed(scheduler, make_slot_request, clock):
    for name in ("a", "b"):
        scheduler.request_slot(make_slot_request(name))
        scheduler.release(release(name, Outcome.ENDPOINT_FAILED))
    assert_that(of_type(scheduler.request_slot(make_slot_request("c")), Queued), Equals(["c"]))
    clock.advance(FIRST_SUSPENSION_S + 0.1)
    assert_that(of_type(scheduler.tick(), Grant), Equals(["c"]))
    assert_that(of_type(scheduler.request_slot(make_slot_request("d")), Grant), HasLength(0))
    scheduler.release(release("c"))
    assert_that(of_type(scheduler.request_slot(make_slot_request("e")), Grant), Equals(["e"]))


def test_slow_tokens_lower_the_limit(scheduler, make_slot_request, clock):
    fill(scheduler, make_slot_request, Tier.URGENT)
    for _ in range(6):
        clock.advance(1.0)
        scheduler.sample(Sample("URGENT-0", 0.0, 0.2, 30))
    assert_that(scheduler.limits.slots(clock(), {Tier.URGENT}), LessThan(SLOTS))


def test_good_latency_at_a_full_endpoint_raises_the_limit(scheduler, make_slot_request, clock):
    fill(scheduler, make_slot_request, Tier.URGENT)
    for _ in range(20):
        scheduler.sample(Sample("URGENT-0", 0.1, 0.01, 30))
    learnt = scheduler.limits.slots(clock(), {Tier.URGENT})
    assert_that(learnt, Equals(SLOTS + 1))
    assert_that(learnt, LessThan(SLOTS / MIN_UTILIZATION_TO_RAISE + 1))


def test_endpoint_without_urgent_streams_fills_up_to_looser_targets(
    scheduler, make_slot_request, clock
):
    fill(scheduler, make_slot_request, Tier.BULK, between_s=0.5)
    scheduler.limits.set_target(Tier.URGENT, "urgent", 0.065)
    for _ in range(40):
        clock.advance(0.1)
        scheduler.sample(Sample("BULK-0", 0.0, 0.1, 30))
    assert_that(scheduler.limits.slots(clock(), {Tier.BULK}), GreaterThan(SLOTS))
    assert_that(scheduler.limits.slots(clock(), {Tier.URGENT}), LessThan(SLOTS))


def test_endpoint_too_slow_for_a_tier_serves_it_late_rather_than_never(
    scheduler, make_slot_request, clock
):
    scheduler.limits.tiers[Tier.URGENT].limit = 0.5
    assert_that(
        of_type(scheduler.request_slot(make_slot_request("urgent")), Queued), Equals(["urgent"])
    )
    clock.advance(0.6)
    assert_that(of_type(scheduler.tick(), Grant), Equals(["urgent"]))


def test_dropped_node_frees_its_slots(scheduler, make_slot_request):
    fill(scheduler, make_slot_request, Tier.URGENT, node="node-2")
    scheduler.request_slot(make_slot_request("waits"))
    assert_that(of_type(scheduler.drop_node("node-2"), Grant), Equals(["waits"]))


def test_lost_release_is_found_by_the_inventory(scheduler, make_slot_request, clock):
    fill(scheduler, make_slot_request, Tier.URGENT)
    scheduler.request_slot(make_slot_request("waits"))
    clock.advance(INVENTORY_LAG_S + 0.1)
    kept = Inventory("node-1", ("URGENT-0", "URGENT-1", "URGENT-2", "waits"))
    assert_that(of_type(scheduler.take_inventory(kept), Grant), Equals(["waits"]))


@pytest.mark.parametrize("seed", range(8))
def test_random_run_keeps_the_invariants_and_serves_every_class(
    scheduler, make_slot_request, clock, seed
):
    """Under three times the capacity, in all tiers, no class starves and no slot leaks."""
    rng = random.Random(seed)
    done = dict.fromkeys(Tier, 0)
    parked = []
    for number in range(4000):
        clock.advance(rng.expovariate(40.0))
        tier = rng.choices(list(Tier), weights=(5, 2, 1))[0]
        slot_requests = [
            make_slot_request(f"{number}", tier, max_wait_s=2.0 if tier is Tier.URGENT else 1e6)
        ]
        if parked and rng.random() < 0.3:
            slot_requests.append(parked.pop(0))
        decisions = scheduler.tick()
        for slot_request in slot_requests:
            decisions += scheduler.request_slot(slot_request)
        preempted = of_type(decisions, Preemption)
        for slot_request_id in preempted:
            decisions += scheduler.release(release(slot_request_id, Outcome.CANCELLED))
        for slot_request_id in [name for name in scheduler.running if rng.random() < 0.05]:
            done[scheduler.running[slot_request_id].slot_request.tier] += 1
            scheduler.release(release(slot_request_id))
        assert_that(len(scheduler.running), LessThan(SLOTS + 2))
    assert_that(min(done.values()), GreaterThan(20))
