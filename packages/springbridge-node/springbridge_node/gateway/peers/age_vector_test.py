"""Tests of age_vector.py: ages survive encoding, and malformed strings are rejected."""

import pytest
from springbridge.membership import HeartbeatAge
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge_node.gateway.peers.age_vector import MAX_STEPS, STEP_S, decode, encode, key_of


def test_ages_come_back_and_never_get_younger():
    ages = [HeartbeatAge("a", 0.0), HeartbeatAge("b", 1.205), HeartbeatAge("c", 2.0)]
    expected = {key_of("a"): 0.0, key_of("b"): 61 * STEP_S, key_of("c"): 100 * STEP_S}
    assert_that(decode(encode(ages)), Equals(expected))


def test_an_age_too_old_for_its_byte_is_left_out():
    oldest_s = (MAX_STEPS - 0.5) * STEP_S
    ages = [HeartbeatAge("a", oldest_s), HeartbeatAge("b", oldest_s + STEP_S)]
    assert_that(list(decode(encode(ages))), Equals([key_of("a")]))


def test_an_age_takes_seven_bytes_at_most():
    ages = [HeartbeatAge(f"n{number}", 0.5) for number in range(48)]
    assert_that(encode(ages), HasLength(48 * 5 * 4 // 3))


@pytest.mark.parametrize("text", ["AAAA", "not base64!"])
def test_a_text_that_no_node_sends_is_refused(text):
    with pytest.raises(ValueError):
        decode(text)
