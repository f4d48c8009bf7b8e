"""Tests of suspicion.py: how the suspicion time grows with the size of the fleet."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.digest import DIGEST_LIMIT
from springbridge.suspicion import stretch_by_digests, stretch_by_hops


@pytest.mark.parametrize(("nodes", "seconds"), [(2, 1.2), (24, 1.2), (78, 1.9), (380, 2.8)])
def test_with_ages_suspicion_grows_by_the_hops(nodes, seconds):
    assert_that(round(1.2 * stretch_by_hops(nodes), 1), Equals(seconds))


@pytest.mark.parametrize(("nodes", "factor"), [(2, 1.0), (DIGEST_LIMIT, 1.0), (380, 380 / 24)])
def test_without_ages_suspicion_grows_by_the_digests_that_name_all(nodes, factor):
    assert_that(stretch_by_digests(nodes), Equals(factor))
