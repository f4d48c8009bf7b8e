"""Tests of store_stamp.py: stamps order revisions across eras."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from springbridge.store_stamp import era_of, revision_of, stamp


def test_a_stamp_holds_both():
    found = stamp(3, 12345)
    assert_that((era_of(found), revision_of(found)), Equals((3, 12345)))


def test_a_later_era_comes_after_any_revision_of_an_earlier_one():
    assert_that(stamp(1, 10**12), LessThan(stamp(2, 0)))


def test_without_eras_a_stamp_is_the_revision():
    assert_that(stamp(0, 77), Equals(77))
