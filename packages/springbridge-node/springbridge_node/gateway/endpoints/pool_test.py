"""Tests of pool.py: how many connections an instance may have, and which idle one it reuses."""

import pytest
from springbridge.routing.records import Service
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from springbridge_node.gateway.endpoints.pool import (
    MIN_CONNECTIONS,
    REPEATABLE_IDLE,
    UNREPEATABLE_IDLE,
    connection_cap,
)


@pytest.mark.parametrize(
    ("instances", "connections"), [(1, 288), (7, 41), (71, 4), (300, MIN_CONNECTIONS)]
)
def test_instances_share_four_fifths_of_an_endpoint_s_connections(instances, connections):
    service = Service("model", max_connections=360)
    assert_that(connection_cap(service, instances), Equals(connections))


def test_an_unrepeatable_request_needs_a_fresher_connection():
    assert_that(UNREPEATABLE_IDLE.max_s, LessThan(REPEATABLE_IDLE.max_s))
    assert_that(UNREPEATABLE_IDLE.keep_alive_share, LessThan(REPEATABLE_IDLE.keep_alive_share))
