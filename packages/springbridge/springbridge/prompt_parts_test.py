"""Tests of the parts of a prompt that other requests may share."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.prompt_parts import MAX_SHARED_PARTS, shared_part_ids
from springbridge.routing.records import PromptPart


@pytest.mark.parametrize(
    ("ids", "shared"),
    [
        ([], ()),
        (["own"], ()),
        (["a", "own"], ("a",)),
        (["a", "b", "a", "own"], ("a", "b")),
        (["a", "b", "a"], ("a", "b")),
    ],
)
def test_all_parts_but_the_last_are_shared(ids, shared):
    assert_that(shared_part_ids([PromptPart(name, 1) for name in ids]), Equals(shared))


def test_the_number_of_parts_is_bounded():
    parts = [PromptPart(str(number), 1) for number in range(400)]
    assert_that(len(shared_part_ids(parts)), Equals(MAX_SHARED_PARTS))
