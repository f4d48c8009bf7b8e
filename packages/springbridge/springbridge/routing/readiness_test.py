"""Tests of readiness.py: callers are sent only to an instance that can serve them."""

from itertools import product

from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.readiness import is_ready


def test_a_node_is_ready_only_with_all_that_a_request_needs():
    ready = [facts for facts in product((True, False), repeat=3) if is_ready(*facts)]
    assert_that(ready, Equals([(True, True, True)]))
