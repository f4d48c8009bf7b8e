"""Tests of clock.py: the clock counts suspensions, and no other clock is used.

The tests cannot suspend the machine. They simulate the kernel's clocks in a suspension: boot time
jumps, and the monotonic clock does not.
"""

import asyncio
import re
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge_node import clock

ROOT = Path(__file__).parents[3]
SOURCES = ("packages/springbridge", "packages/springbridge-node", "platform", "deploy")
# Files that may read other clocks, and why.
CLASS_ROUTER = "packages/springbridge-node/springbridge_node/class_router"
ALLOWED = {
    # Compares boot time with the monotonic clock, which is also its fallback.
    "packages/springbridge-node/springbridge_node/clock.py",
    # Request ids contain their time of issue, for nodes that share no other clock.
    f"{CLASS_ROUTER}/class_node.py",
    f"{CLASS_ROUTER}/callers/callers_http.py",
    f"{CLASS_ROUTER}/callers/work_handler.py",
    # Order leases are stored in the platform's table with the time of day at which they expire.
    f"{CLASS_ROUTER}/assembly.py",
}
OTHER_CLOCK = re.compile(r"\btime\.(monotonic|perf_counter|time|clock_gettime)\b|timeout_at\(")


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that simulates a suspension of some seconds."""
    slept_s = [0.0]
    real = clock._read
    monkeypatch.setattr(clock, "_read", lambda: real() + slept_s[0])

    def jump(seconds):
        slept_s[0] += seconds

    return jump


def test_no_other_clock_is_read():
    found = [
        f"{path.relative_to(ROOT)}: {line.strip()}"
        for folder in SOURCES
        for path in sorted((ROOT / folder).rglob("*.py"))
        if not path.name.endswith("_test.py") and str(path.relative_to(ROOT)) not in ALLOWED
        for line in path.read_text().splitlines()
        if OTHER_CLOCK.search(line)
    ]
    assert_that(found, Equals([]))


def test_a_suspension_is_counted(suspend):
    before_s = clock.now_s()
    suspend(5.0)
    assert_that(clock.now_s() - before_s, GreaterThan(4.99))


def test_a_suspension_is_noticed_once(suspend):
    watch = clock.SuspensionWatch()
    assert_that(watch.suspended_s(), Equals(0.0))
    suspend(0.2)
    assert_that(abs(watch.suspended_s() - 0.2), LessThan(0.05))
    assert_that(watch.suspended_s(), Equals(0.0))


@pytest.mark.parametrize("seconds", [0.2, 3.0, 30.0])
def test_timers_whose_moment_passed_go_off_at_the_next_tick(suspend, seconds):
    ticks, gone_off_after_ticks = [], []

    async def main():
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, lambda: gone_off_after_ticks.append(len(ticks)))
        loop.call_later(0.02, suspend, seconds)
        while not gone_off_after_ticks:
            # A tick, like that of the heartbeats. By the monotonic clock alone four of them pass in
            # 0.2 s.
            await asyncio.sleep(0.05)
            ticks.append(loop.time())

    clock.run(main())
    assert_that(gone_off_after_ticks[0], LessThan(2))
