"""Tests of retry_after.py: the Retry-After time of each refusal."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing import retry_after


@pytest.mark.parametrize(
    ("seconds", "expected_s"),
    [
        (retry_after.without_configuration(store_is_up=True), 0.5),
        (retry_after.without_configuration(store_is_up=False), 3.0),
        (retry_after.while_endpoints_restart(), 4.0),
        (retry_after.when_endpoint_full(target_s=2.0), 0.2),
        (retry_after.when_endpoint_full(target_s=0.1), 0.05),
        (retry_after.when_endpoint_full(target_s=0.0), 0.05),
        (retry_after.after_overload(backlog_s=0.4, longest_wait_s=0.6), 2.0),
        (retry_after.after_overload(backlog_s=5.5, longest_wait_s=0.5), 7.0),
        (retry_after.while_leaving(), 0.05),
        (retry_after.after_node_fault(), 0.5),
    ],
)
def test_each_refusal_has_its_time_to_come_back(seconds, expected_s):
    assert_that(round(seconds, 6), Equals(expected_s))
