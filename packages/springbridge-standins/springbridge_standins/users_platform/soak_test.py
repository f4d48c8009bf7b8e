"""A short soak with a fixed seed: no promise is broken. Longer ones run by hand, `make soak`."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from springbridge_standins.users_platform.soak import run_soak


def test_a_short_soak_breaks_no_promise(tmp_path):
    soak = asyncio.run(run_soak(7, 12.0, tmp_path))
    assert_that(soak.violations, Equals([]))
    assert_that(len(soak.asked), GreaterThan(20))
