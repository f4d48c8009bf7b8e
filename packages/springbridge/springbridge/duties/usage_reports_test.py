"""Tests of usage_reports.py: each window is decided once, whoever decides and whatever is lost."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.duties.usage import FleetUsage, ReportedUsage
from springbridge.duties.usage_reports import SEND_WITHIN_S, SETTLE_S, Report, ReportLedger

WINDOW_S = 5.0


def usage_of(**windows):
    """Return a fleet's usage; w10=3 means three requests in window 10."""
    usage = FleetUsage()
    for name, count in windows.items():
        usage.merge(ReportedUsage("run", 0.0, int(name[1:]), {"councils": count}))
    return usage


def test_a_window_is_decided_once_its_counts_are_settled():
    ledger = ReportLedger(WINDOW_S)
    ledger.begin(10)
    end_s = 11 * WINDOW_S
    assert_that(ledger.decide(usage_of(w10=3), end_s + SETTLE_S - 0.1), Equals([]))
    decided = ledger.decide(usage_of(w10=3), end_s + SETTLE_S)
    assert_that(decided, Equals([Report(10, {"councils": 3})]))
    assert_that(ledger.decide(usage_of(w10=9), end_s + SETTLE_S), Equals([]))


def test_a_window_without_requests_is_reported_too():
    ledger = ReportLedger(WINDOW_S)
    ledger.begin(10)
    assert_that(ledger.decide(usage_of(), 60.0), Equals([Report(10, {})]))


def test_a_report_is_unsent_until_the_platform_has_taken_it():
    ledger = ReportLedger(WINDOW_S)
    ledger.begin(10)
    ledger.decide(usage_of(w10=3), 60.0)
    assert_that(ledger.unsent(60.0), Equals([Report(10, {"councils": 3})]))
    ledger.mark_sent(10)
    assert_that(ledger.unsent(60.0), Equals([]))


def test_a_report_that_was_dropped_while_it_was_sent_stays_dropped():
    ledger = ReportLedger(WINDOW_S)
    ledger.mark_sent(10)
    assert_that(ledger.reports(), Equals([]))


def test_a_successor_sends_what_was_decided_and_decides_it_no_more():
    ledger = ReportLedger(WINDOW_S)
    ledger.adopt([Report(10, {"councils": 3})], next_window=11)
    ledger.begin(14)
    assert_that(ledger.unsent(60.0), Equals([Report(10, {"councils": 3})]))
    assert_that(ledger.decide(usage_of(w10=9, w11=4), 64.0), Equals([Report(11, {"councils": 4})]))


def test_what_was_told_of_a_report_that_the_store_lost_holds():
    ledger = ReportLedger(WINDOW_S)
    ledger.adopt([], next_window=10)
    ledger.adopt([Report(10, {"councils": 3})], next_window=10)
    assert_that(ledger.next_window, Equals(11))
    assert_that(ledger.decide(usage_of(w10=9), 60.0), Equals([]))


# Guards against a second report of a window: a holder that finds no row of the lease must not
# decide again a window whose report it has from peers.
def test_what_was_told_of_a_report_holds_though_the_row_is_missing():
    ledger = ReportLedger(WINDOW_S)
    ledger.adopt([Report(10, {"councils": 3})], next_window=None)
    ledger.begin(9)
    assert_that(ledger.decide(usage_of(w9=1, w10=9), 60.0), Equals([]))
    assert_that(ledger.reports(), Equals([Report(10, {"councils": 3})]))
    assert_that(ledger.next_window, Equals(11))


def test_the_first_version_of_a_report_stays():
    ledger = ReportLedger(WINDOW_S)
    ledger.adopt([Report(10, {"councils": 3})], next_window=11)
    ledger.adopt([Report(10, {"councils": 4}, sent=True)], next_window=11)
    assert_that(ledger.reports(), Equals([Report(10, {"councils": 3})]))


def test_windows_that_are_too_late_are_passed_over_and_told_of():
    ledger = ReportLedger(WINDOW_S)
    ledger.begin(10)
    ledger.decide(usage_of(w10=3), 60.0)
    late_s = 11 * WINDOW_S + SEND_WITHIN_S + 0.1
    assert_that(ledger.drop_too_late(late_s), Equals([Report(10, {"councils": 3})]))
    assert_that(ledger.reports(), Equals([]))


def test_a_first_window_far_back_costs_no_time():
    ledger = ReportLedger(WINDOW_S)
    ledger.adopt([], next_window=0)
    true_s = 1.7e9
    decided = ledger.decide(usage_of(), true_s)
    assert_that(len(decided), Equals(int((SEND_WITHIN_S - SETTLE_S) / WINDOW_S) + 1))
    assert_that(ledger.skipped_without_report(0)[:1], Equals([]))
