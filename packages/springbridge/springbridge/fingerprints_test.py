"""Tests of fingerprints: the same request has one, and every part counts."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from springbridge.fingerprints import fingerprint


def test_the_same_parts_have_the_same_fingerprint():
    assert_that(fingerprint(b"councils", b"/a"), Equals(fingerprint(b"councils", b"/a")))
    assert_that(fingerprint(b"councils", b"/a"), HasLength(16))


def test_each_part_and_the_border_between_parts_count():
    different = [(b"ab", b"c"), (b"a", b"bc"), (b"abc", b""), (b"", b"abc"), (b"abc",)]
    assert_that({fingerprint(*parts) for parts in different}, HasLength(len(different)))
