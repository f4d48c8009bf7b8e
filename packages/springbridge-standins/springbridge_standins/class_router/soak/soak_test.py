"""A short soak with a fixed seed; it checks for violations, not for speed."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_standins.class_router.soak.soak import run_soak

SECONDS = 15.0


@pytest.mark.parametrize("seed", [7])
def test_short_soak_finds_no_violation(seed):
    soak = asyncio.run(run_soak(seed, SECONDS, progress=False))
    assert_that(soak.findings, Equals([]))
