"""Tests of loading.py: what the block creates is excluded from garbage collection."""

import gc

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from springbridge_node.gateway.loading import excluded_from_gc


@pytest.fixture
def frozen():
    """Yield a count of the objects excluded from collection, and include them again at the end."""
    yield gc.get_freeze_count
    gc.unfreeze()


def test_the_search_rests_within_the_block_and_leaves_out_what_it_made(frozen):
    before = frozen()
    with excluded_from_gc():
        assert_that(gc.isenabled(), Equals(False))
        made = [[] for _ in range(100)]
    assert_that(gc.isenabled(), Equals(True))
    assert_that(frozen() - before, GreaterThan(len(made)))


def test_a_failed_load_leaves_the_search_on(frozen):
    with pytest.raises(ImportError), excluded_from_gc():
        raise ImportError
    assert_that(gc.isenabled(), Equals(True))
