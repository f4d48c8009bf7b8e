"""Tests of class_admission.py: which headers are admitted, and the first reason to refuse them."""

import pytest
from springbridge.classes.entities import Customer, RequestClass, Share, Table, Tier
from springbridge.codes import Code
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge_node.class_router.requests.class_admission import (
    AFFINITY_HEADER,
    CLASS_HEADER,
    ID_HEADER,
    REPEATABLE_HEADER,
    WAIT_HEADER,
    admit,
    key_hash,
)

PERTH = frozenset({"perth-a"})
HEADERS = {"Authorization": "Bearer a-key", CLASS_HEADER: "claims"}


@pytest.fixture
def table():
    """Return a table in which one customer may use one of two classes."""
    claims = RequestClass("claims", Tier.URGENT, "m", 1000, 65, 5000, PERTH, True)
    other = RequestClass("other", Tier.URGENT, "m", 1000, 65, 5000, PERTH, True)
    return Table(
        version=1,
        classes={"claims": claims, "other": other},
        customers={"findwell": Customer("findwell", PERTH, ())},
        shares={("findwell", "claims"): Share("findwell", "claims", 1.0, 1.0, 1)},
        keys={key_hash("a-key"): "findwell"},
    )


def test_what_a_caller_leaves_out_is_the_class_s(table):
    admitted = admit(table, HEADERS).unwrap()
    assert_that(admitted.owner, Equals("findwell/claims"))
    assert_that(admitted.failure_domains, Equals(PERTH))
    assert_that(admitted.request_id, Is(None))
    assert_that(admitted.max_wait_s, Equals(5.0))
    assert_that(admitted.repeatable, Is(True))
    assert_that(admitted.affinity, Equals(""))


@pytest.mark.parametrize(("wait_ms", "wait_s"), [("100", 0.1), ("9000", 5.0)])
def test_a_caller_may_shorten_the_wait_of_its_class(table, wait_ms, wait_s):
    admitted = admit(table, {**HEADERS, WAIT_HEADER: wait_ms, AFFINITY_HEADER: "chat-7"}).unwrap()
    assert_that(admitted.max_wait_s, Equals(wait_s))
    assert_that(admitted.affinity, Equals("chat-7"))


def test_a_caller_may_forbid_repeats(table):
    admitted = admit(table, {**HEADERS, REPEATABLE_HEADER: "no"}).unwrap()
    assert_that(admitted.repeatable, Is(False))


@pytest.mark.parametrize(
    ("headers", "code"),
    [
        ({"Authorization": ""}, Code.UNKNOWN_KEY),
        ({"Authorization": "Bearer x", CLASS_HEADER: "none"}, Code.UNKNOWN_KEY),
        ({CLASS_HEADER: "none", WAIT_HEADER: "x"}, Code.UNKNOWN_CLASS),
        ({CLASS_HEADER: "other"}, Code.CLASS_NOT_ALLOWED),
        ({ID_HEADER: "!!", REPEATABLE_HEADER: "x"}, Code.REQUEST_ID_MALFORMED),
        ({REPEATABLE_HEADER: "maybe"}, Code.HEADER_MALFORMED),
        ({WAIT_HEADER: "soon"}, Code.HEADER_MALFORMED),
        ({WAIT_HEADER: "1" * 10}, Code.HEADER_MALFORMED),
    ],
)
def test_the_first_reason_to_refuse_is_given(table, headers, code):
    assert_that(admit(table, {**HEADERS, **headers}).failure().code, Is(code))
