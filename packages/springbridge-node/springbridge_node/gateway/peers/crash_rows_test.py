"""Tests of crash_rows.py: rows decode to what was encoded, and malformed rows are rejected."""

import pytest
from springbridge.crash_records import CrashReport, ReportedCrash
from springbridge.trials import Answer, Permission
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.peers import crash_rows
from springbridge_node.gateway.peers.crash_rows import TrialReply, TrialRequest

RECORD = CrashReport("f00d", (ReportedCrash(2**64 - 1, 0.25, True), ReportedCrash(7, 3.5)), 1.125)
ROW = ["f00d", [[2**64 - 1, 0.25, 1], [7, 3.5, 0]], 1.125]


def test_a_record_s_row_and_back():
    # The format must not change: nodes of two builds exchange these rows.
    assert_that(crash_rows.record_row(RECORD), Equals(ROW))
    assert_that(crash_rows.read_record(ROW), Equals(RECORD))
    without = CrashReport("f00d")
    assert_that(crash_rows.read_record(crash_rows.record_row(without)), Equals(without))


def test_a_question_s_row_and_back():
    request = TrialRequest(4, "n/q", "model", "i-1", 2.5, RECORD)
    row = crash_rows.request_row(request)
    assert_that(row, Equals([4, "n/q", "model", "i-1", 2.5, ROW]))
    assert_that(crash_rows.read_request(row), Equals(request))


def test_the_row_of_an_end_and_back():
    end = crash_rows.TrialEnd("n/q", RECORD)
    row = crash_rows.end_row(end)
    assert_that(row, Equals(["n/q", ROW]))
    assert_that(crash_rows.read_end(row), Equals(end))


def test_an_answer_s_row_and_back():
    reply = TrialReply(4, Permission(Answer.ANOTHER_ENDPOINT, ("i-1",), 0.5), RECORD)
    row = crash_rows.reply_row(reply)
    assert_that(row, Equals([4, 1, ["i-1"], 0.5, ROW]))
    assert_that(crash_rows.read_reply(row), Equals(reply))


def test_fields_of_later_builds_are_passed_over():
    later = ["f00d", [[7, 3.5, 0, "more"]], None, "more"]
    assert_that(
        crash_rows.read_record(later), Equals(CrashReport("f00d", (ReportedCrash(7, 3.5),)))
    )


@pytest.mark.parametrize(
    "row", [[], ["f"], [7, [], None], ["f", [["x", 1.0, 0]], None], ["f", [[1, "x", 0]], None]]
)
def test_what_no_node_sends_is_refused(row):
    with pytest.raises((ValueError, TypeError)):
        crash_rows.read_record(row)


def test_an_age_below_zero_counts_as_now():
    assert_that(crash_rows.read_record(["f", [[1, -5.0, 0]], None]).crashes[0].age_s, Equals(0.0))
