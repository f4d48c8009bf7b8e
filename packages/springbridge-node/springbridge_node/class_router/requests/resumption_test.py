"""Tests of resumption.py: what becomes of the reading of a stream."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.class_router.requests import resumption
from springbridge_node.class_router.requests.progress import Progress

NEVER_S = 3600.0


# Guards against a stream that is read on, with its endpoint's slot, after its request has ended.
@pytest.mark.parametrize(("stall_s", "cancelled"), [(0.0, False), (NEVER_S, True)])
def test_a_reading_ends_with_its_request(monkeypatch, stall_s, cancelled):
    monkeypatch.setattr(resumption, "STALL_CHECK_INTERVAL_S", 0.01)
    ends = []

    async def read():
        try:
            await asyncio.sleep(NEVER_S)
        finally:
            ends.append("ended")

    async def body():
        clock = asyncio.get_running_loop().time
        reading = resumption._read_unless_stalled(read(), Progress(clock()), stall_s, clock)
        task = asyncio.ensure_future(reading)
        await asyncio.sleep(0.05)
        task.cancel()
        (result,) = await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        assert_that(isinstance(result, asyncio.CancelledError), Equals(cancelled))
        assert_that(ends, Equals(["ended"]))

    asyncio.run(body())
