"""Tests of placement.py: the failure domains and endpoints that a request may use."""

from pathlib import Path

import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge.classes.placement import allowed_endpoints, allowed_failure_domains
from springbridge.classes.table import sheet
from springbridge.classes.table.build import build
from springbridge.codes import Code

EXAMPLE = Path(__file__).parents[4] / "examples" / "findwell.csv"


@pytest.fixture
def rows():
    """Return the rows of an example table."""
    return sheet.load(EXAMPLE.read_text()).unwrap()


def test_failure_domains_are_the_intersection(rows):
    rows["customer/swan"] = {**rows["customer/swan"], "places": "perth-a elsewhere"}
    table = build(1, rows).table
    claims, swan = table.classes["claim-answers"], table.customers["swan"]
    failure_domains = allowed_failure_domains(claims, swan).unwrap()
    names = [endpoint.name for endpoint in allowed_endpoints(table, claims, failure_domains)]
    assert_that(failure_domains, Equals(frozenset({"perth-a"})))
    assert_that(names, Equals(["matching-1", "matching-4"]))


def test_no_common_failure_domain_is_refused(rows):
    rows["customer/swan"] = {**rows["customer/swan"], "places": "elsewhere"}
    table = build(1, rows).table
    result = allowed_failure_domains(table.classes["claim-answers"], table.customers["swan"])
    assert_that(isinstance(result, Success), Is(False))
    assert_that(result.failure().code, Is(Code.NO_ALLOWED_PLACE))
