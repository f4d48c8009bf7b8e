"""Tests of lease.py: when a lease is renewed, taken and lost, and how long it lasts."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from springbridge.duties import lease
from springbridge.duties.lease import LeaseReading, LeaseRow, ObservedLease, Step, Tenure
from springbridge.store_stamp import stamp

LEASE_S = 3.0
ROW = LeaseRow("node-1", "run-1", False, b"")


def sight(row=ROW, at=7, since_s=100.0):
    """Return an observed row that was first seen at since_s."""
    return ObservedLease(LeaseReading(at, row, 0.0), since_s)


def test_a_holder_counts_from_before_its_renewal_was_sent():
    tenure = lease.renewed_tenure(Tenure(5, 5, 0.0), 9, 100.0, LEASE_S)
    assert_that(tenure, Equals(Tenure(5, 9, 100.0 + LEASE_S - lease.SAFETY_MARGIN_S)))


def test_a_call_that_could_outlast_the_tenure_is_not_allowed():
    tenure = lease.new_tenure(5, 100.0, LEASE_S)
    assert_that(tenure.allows(102.0, 0.8), Equals(True))
    assert_that(tenure.allows(102.1, 0.8), Equals(False))


def test_a_successor_begins_only_after_the_tenure_of_before():
    tenure = lease.new_tenure(5, 100.0, LEASE_S)
    earliest_s = lease.available_from_s(sight(since_s=100.0), LEASE_S)
    assert_that(earliest_s, GreaterThan(tenure.until_s))


@pytest.mark.parametrize(
    ("row", "rank", "after_s", "step"),
    [
        (ROW, 0, 2.9, Step.READ),
        (ROW, 0, 3.0, Step.TAKE),
        (ROW, 1, 3.0, Step.READ),
        (ROW, 1, 3.5, Step.TAKE),
        # Never held before; a lower-ranked candidate still waits for the first one.
        (None, 0, 0.0, Step.TAKE),
        (None, 1, 0.4, Step.READ),
        (LeaseRow("node-1", "run-1", True, b""), 0, 1.4, Step.READ),
        (LeaseRow("node-1", "run-1", True, b""), 0, 1.5, Step.TAKE),
        # A row of an earlier era does not show who holds the lease.
        (LeaseRow("node-1", "run-1", True, b"", era=-1), 0, 1.5, Step.READ),
        (ROW, lease.CANDIDATES, 60.0, Step.WAIT),
    ],
)
def test_when_a_candidate_takes_the_lease(row, rank, after_s, step):
    found = lease.candidate_step(sight(row), 100.0 + after_s, LEASE_S, rank)
    assert_that(found, Is(step))


def test_a_row_that_an_older_copy_lacks_is_waited_for_like_a_held_one():
    lost = ObservedLease(LeaseReading(stamp(1, 0), None, 0.0), 100.0)
    assert_that(lease.candidate_step(lost, 102.9, LEASE_S, 0), Is(Step.READ))
    assert_that(lease.candidate_step(lost, 103.0, LEASE_S, 0), Is(Step.TAKE))


def test_a_renewal_makes_candidates_wait_anew():
    before = sight(at=7, since_s=100.0)
    again = lease.observe(before, LeaseReading(7, ROW, 0.0), 102.0)
    renewed = lease.observe(before, LeaseReading(8, ROW, 0.0), 102.0)
    assert_that((again.since_s, renewed.since_s), Equals((100.0, 102.0)))


def test_a_return_from_an_older_copy_makes_candidates_wait_anew():
    before = sight(at=stamp(0, 7), since_s=100.0)
    after = lease.observe(before, LeaseReading(stamp(1, 7), ROW, 0.0), 102.9)
    assert_that(after.since_s, Equals(102.9))


def test_tokens_rise_across_a_return_from_an_older_copy():
    before = lease.new_tenure(stamp(0, 1_000_000), 0.0, LEASE_S)
    after = lease.new_tenure(stamp(1, 2), 10.0, LEASE_S)
    assert_that(before.token, LessThan(after.token))


def test_a_holder_goes_on_if_its_own_renewal_was_done_without_an_answer():
    tenure = Tenure(5, 9, 103.0)
    own = lease.after_refused_renewal(tenure, LeaseReading(12, ROW, 0.0), "run-1")
    assert_that(own, Equals(Tenure(5, 12, 103.0)))


@pytest.mark.parametrize(
    "row",
    [
        None,
        LeaseRow("node-1", "run-2", False, b""),
        LeaseRow("node-1", "run-1", True, b""),
    ],
)
def test_a_holder_stops_if_the_row_is_not_its_own(row):
    found = lease.after_refused_renewal(Tenure(5, 9, 103.0), LeaseReading(12, row, 0.0), "run-1")
    assert_that(found, Is(None))


def test_a_holder_that_is_no_candidate_any_more_hands_on():
    tenure = lease.new_tenure(5, 100.0, LEASE_S)
    assert_that(lease.holder_step(tenure, 101.0, is_candidate=False), Is(Step.HAND_ON))
    assert_that(lease.holder_step(tenure, 101.0, is_candidate=True), Is(Step.RENEW))
    assert_that(lease.holder_step(tenure, 103.0, is_candidate=True), Is(Step.READ))


def test_a_lease_is_never_shorter_than_the_time_in_which_nobody_returns():
    assert_that(
        (lease.lease_length_s(1.0), lease.lease_length_s(5.0)), Equals((lease.MIN_LEASE_S, 5.0))
    )


def test_a_holder_follows_itself_only_while_its_own_tenure_kept_others_away():
    reading = LeaseReading(stamp(1, 3), None, 0.0)
    assert_that(
        lease.Takeover(reading, 10.0, 14.0, exclusive_until_s=10.5).is_uninterrupted, Is(True)
    )
    assert_that(
        lease.Takeover(reading, 10.0, 14.0, exclusive_until_s=9.5).is_uninterrupted, Is(False)
    )
    assert_that(lease.Takeover(reading, 10.0, 14.0).is_uninterrupted, Is(False))
