"""Tests of checks.py: how often a request may run, by whether a path of its node was cut."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_standins.gateway.soak.checks import CUSTOMER, check_record
from springbridge_standins.gateway.soak.state import PathCut, SentRequest, Soak
from springbridge_standins.gateway.store import StoreStandIn


# Guards against a check that lets requests run again and again, also where no path was cut.
@pytest.mark.parametrize(
    ("path", "engines", "cut_at_s", "cut_off", "violations"),
    [
        ("/stream/x", "aa", None, "", 0),
        ("/stream/x", "aaa", None, "", 1),
        ("/stream/x", "aab", 10.0, "", 0),
        ("/stream/x", "aab", 2.0, "", 1),
        ("/stream/x", "aabbb", 10.0, "", 1),
        ("/stream/x", "abc", 10.0, "", 1),
        ("/stream/x", "abc", 10.0, "b", 0),
        ("/stream/x", "abc", 2.0, "b", 2),
        ("/stream/x", "abcd", 10.0, "b", 1),
        ("/single/x", "aa", 10.0, "a", 1),
    ],
)
def test_more_runs_than_engines_are_allowed_only_over_a_cut(
    path, engines, cut_at_s, cut_off, violations
):
    soak = Soak(random.Random(1), StoreStandIn())
    soak.sent["r"] = SentRequest(path, "body", "node", 10.0)
    soak.record.bodies["r"], soak.record.customers["r"] = "body", CUSTOMER
    for name in engines:
        soak.record.runs["r"] += 1
        soak.record.engines["r"].add(name)
    if cut_at_s is not None:
        soak.path_cuts.append(PathCut("node", cut_at_s, cut_at_s + 1.0, frozenset(cut_off)))
    check_record(soak)
    assert_that(len(soak.violations), Equals(violations))
