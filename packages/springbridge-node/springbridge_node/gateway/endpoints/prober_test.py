"""Tests of prober.py: that a probe which fails keeps no other one from its result."""

import asyncio
from types import SimpleNamespace

from springbridge.routing.paths import PathTable
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.clock import now_s
from springbridge_node.gateway.endpoints.prober import EndpointProber


def state(name):
    """Return a stand-in for the state of an unreachable endpoint."""
    return SimpleNamespace(entry=SimpleNamespace(endpoint_id=name))


# Guards against endpoints that stay unreachable here, as the probe of another one meets an
# exception that nobody foresaw and ends the whole round.
def test_a_probe_that_fails_keeps_no_other_from_its_result():
    reached = []
    registry = SimpleNamespace(
        unreachable_endpoints=lambda: [state("i-1"), state("i-2")],
        reported_unreachable=list,
        mark_reachable=lambda each: reached.append(each.entry.endpoint_id),
    )

    async def warm(entry):
        if entry.endpoint_id == "i-1":
            raise KeyError
        await asyncio.sleep(0.01)

    pool = SimpleNamespace(warm=warm)
    prober = EndpointProber(registry, pool, None, PathTable(now_s))
    asyncio.run(prober.step())
    assert_that(reached, Equals(["i-2"]))
