"""Tests of http_connection.py on drawn answers: it reads what a strict reader does.

Guards against callers that get other bytes than their endpoint sent, and against sound answers that
are taken for broken.
"""

import asyncio

import pytest
from springbridge_standins.gateway.drawn_heads import play
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

COUNT = 5000


@pytest.mark.parametrize("seed", [1, 2])
def test_a_spoilt_answer_is_read_as_strictly_as_it_has_to_be(seed):
    outcomes = asyncio.run(play(seed, COUNT, is_sound=False))
    assert_that(outcomes.wrong, Equals([]))
    # Of both kinds there are many, else little was tried.
    assert_that(min(outcomes.counts.values()), GreaterThan(COUNT // 10))


@pytest.mark.parametrize("seed", [3, 4])
def test_a_sound_answer_is_whole(seed):
    outcomes = asyncio.run(play(seed, COUNT, is_sound=True))
    assert_that((outcomes.wrong, outcomes.counts["whole"]), Equals(([], COUNT)))
