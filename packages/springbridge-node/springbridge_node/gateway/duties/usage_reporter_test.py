"""Tests of usage_reporter.py: which windows are still to be decided after a takeover."""

from types import SimpleNamespace

import orjson
import pytest
from springbridge.duties.lease import LeaseReading, LeaseRow, Takeover
from springbridge.duties.usage import ReportedUsage
from springbridge.duties.usage_reports import CLOCK_LEAD_S, SETTLE_S, Report
from springbridge.store_stamp import stamp
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from springbridge_node.gateway.duties import lease_content
from springbridge_node.gateway.duties.lease_content import LeaseContent
from springbridge_node.gateway.duties.usage_reporter import UsageReporter
from springbridge_node.gateway.duties.usage_sharing import UsageSharing

WINDOW_S = 5.0
# True time at second 0 of the steady clock, the start of window 100.
START_S = 500.0


@pytest.fixture
def reporter():
    """Return a reporter at second 20 of the steady clock, with counts of windows 100 to 103."""
    candidates = SimpleNamespace(others=list)
    sharing = UsageSharing(candidates, "run-1", WINDOW_S, lambda: 20.0, lambda: START_S + 20.0)
    for window in range(100, 104):
        sharing.usage.merge(ReportedUsage("run-2", START_S, window, {"councils": window}))
    return UsageReporter(None, sharing, None, candidates, WINDOW_S)


def takeover(content, *, row_era, store_era, seen_s=16.0, **more):
    """Return a takeover at second 20 of the steady clock, of a row with the given content."""
    row = LeaseRow("node-2", "run-2", False, content, row_era)
    reading = LeaseReading(stamp(store_era, 7), row, 20.0)
    return Takeover(reading, seen_s, 20.0, **more)


def kept(next_window, era):
    """Return the content that a holder stored in an era."""
    return lease_content.to_bytes(
        LeaseContent(wall_ahead_s=START_S, next_window=next_window, era=era)
    )


def next_window(reporter):
    """Return the first window that the reporter has not decided, without deciding any."""
    return reporter._ledger.next_window


def test_a_row_of_this_era_says_what_is_left_to_decide(reporter):
    reporter.continue_from(takeover(kept(100, era=1), row_era=1, store_era=1))
    assert_that(next_window(reporter), Equals(100))


# Guards against a second report of a window whose first one was in a row that the store has lost.
@pytest.mark.parametrize("row_era", [0, 1])
def test_windows_that_an_older_copy_may_have_forgotten_are_left_out(reporter, row_era):
    # Windows 100 and 101 were settled when the row was first seen; 102 was not.
    reporter.continue_from(takeover(kept(100, era=0), row_era=row_era, store_era=1, seen_s=13.0))
    assert_that(next_window(reporter), Equals(102))
    assert_that(reporter.missed, Equals(2))


def test_the_clock_of_an_earlier_holder_may_have_been_ahead(reporter):
    settled_s = 10.0 + SETTLE_S
    reporter.continue_from(
        takeover(kept(100, era=0), row_era=0, store_era=1, seen_s=settled_s - 0.9 * CLOCK_LEAD_S)
    )
    assert_that(next_window(reporter), Equals(102))


def test_a_row_without_content_leaves_out_what_may_have_been_decided(reporter):
    reporter.continue_from(takeover(b"", row_era=1, store_era=1, seen_s=13.0))
    assert_that(next_window(reporter), Equals(102))


# Guards against duties that nobody can take over because of what another writer left in the row.
@pytest.mark.parametrize(
    "changes",
    [{"totals": []}, {"totals": {"1" * 5000: {}}}, {"reports": 5}, {"kept_s": None}, {"era": "x"}],
)
def test_odd_content_counts_as_none(reporter, changes):
    odd = orjson.dumps(orjson.loads(kept(100, era=1)) | changes)
    for content in (odd, b"[]", b"7", b"\xff"):
        reporter.continue_from(takeover(content, row_era=1, store_era=1, seen_s=13.0))
        assert_that(next_window(reporter), Equals(102))


def test_the_first_holder_of_all_decides_from_the_first_counts_on(reporter):
    reporter.continue_from(Takeover(LeaseReading(0, None, 20.0), 16.0, 20.0))
    assert_that(next_window(reporter), Equals(100))


def test_reports_that_peers_told_of_are_sent_though_their_windows_are_left_out(reporter):
    reporter._sharing.received_reports[101] = Report(101, {"councils": 7})
    reporter.continue_from(takeover(kept(100, era=0), row_era=0, store_era=1, seen_s=13.0))
    reporter.decide_content(1)
    assert_that(reporter._ledger.reports(), Contains(Report(101, {"councils": 7})))
    assert_that([each.window for each in reporter._ledger.reports()], Not(Contains(100)))
    assert_that(reporter.missed, Equals(1))


def test_a_holder_that_nobody_can_have_followed_goes_on_where_it_was(reporter):
    reporter.continue_from(takeover(kept(101, era=0), row_era=0, store_era=0))
    reporter.decide_content(0)
    reporter.on_renewed()
    reporter.continue_from(
        takeover(b"", row_era=1, store_era=1, seen_s=16.0, exclusive_until_s=17.0)
    )
    assert_that(next_window(reporter), Equals(103))
    assert_that(reporter.missed, Equals(0))


def decided(era, stored_next):
    """Return the content of a holder that has decided windows 100 and 101."""
    reports = (Report(100, {"councils": 1}), Report(101, {"councils": 2}))
    return lease_content.to_bytes(
        LeaseContent(
            wall_ahead_s=START_S,
            next_window=102,
            reports=reports,
            era=era,
            stored_next=stored_next,
        )
    )


# Guards against a second report of a window: its holder had given up the write with the decision,
# which took effect after the store was restored.
def test_a_decision_of_an_earlier_era_counts_only_if_an_acknowledged_write_had_it(reporter):
    reporter.continue_from(takeover(decided(0, 101), row_era=0, store_era=1, seen_s=13.0))
    assert_that(reporter._ledger.reports(), Equals([Report(100, {"councils": 1})]))
    assert_that((next_window(reporter), reporter.missed), Equals((102, 1)))


def test_a_decision_of_this_era_counts_though_its_write_was_given_up(reporter):
    reporter.continue_from(takeover(decided(1, 100), row_era=1, store_era=1))
    assert_that([each.window for each in reporter._ledger.reports()], Equals([100, 101]))
    assert_that(reporter.missed, Equals(0))


def test_what_the_holder_told_counts_before_what_a_row_says(reporter):
    reporter._sharing.received_reports[100] = Report(100, {"councils": 7})
    reporter.continue_from(takeover(decided(0, 102), row_era=0, store_era=1, seen_s=13.0))
    assert_that(reporter._ledger.reports()[0], Equals(Report(100, {"councils": 7})))


def test_a_content_names_the_decisions_that_the_write_before_had_stored(reporter):
    reporter.continue_from(takeover(kept(100, era=0), row_era=0, store_era=0))
    first = lease_content.from_bytes(reporter.decide_content(0), 0)
    assert_that((first.next_window, first.stored_next), Equals((103, 100)))
    assert_that(first.stored_reports(), Equals(()))
    reporter.on_renewed()
    second = lease_content.from_bytes(reporter.decide_content(0), 0)
    assert_that(second.stored_reports(), Equals(first.reports))


def test_content_of_an_earlier_build_has_the_era_of_its_row(reporter):
    content = kept(100, era=1).replace(b',"era":1', b"")
    reporter.continue_from(takeover(content, row_era=1, store_era=1))
    assert_that(next_window(reporter), Equals(100))
