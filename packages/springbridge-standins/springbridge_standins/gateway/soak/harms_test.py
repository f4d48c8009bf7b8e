"""Tests of the harms on nodes: a node is free for the next harm only once it serves."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_standins.gateway.soak import harms, nodes
from springbridge_standins.gateway.soak.nodes import NodeProcess, Ports
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.gateway.store import StoreStandIn

# A process that logs its start late, as on a busy machine, and runs until a signal ends it.
SLOW_START = """#!/bin/sh
sleep 0.6
echo "{\\"pid\\":$$,}"
exec sleep 60
"""


# Guards against harms that end nodes again and again before they serve: beside busy processes 28 of
# 83 processes of a soak logged their start, and after 21 s none of 20 nodes was up.
@pytest.mark.parametrize("harm", [harms._kill_node, harms._stop_node])
def test_a_node_that_starts_slowly_is_not_free_for_the_next_harm(tmp_path, monkeypatch, harm):
    program = tmp_path / "slow"
    program.write_text(SLOW_START)
    program.chmod(0o755)
    monkeypatch.setattr(nodes, "sys", SimpleNamespace(executable=str(program)))
    monkeypatch.setattr(harms, "NODE_START_S", 0.1)

    async def body():
        soak = Soak(random.Random(1), StoreStandIn())
        for number in range(3):
            ports = Ports(1, 2, 3, 4, 5)
            soak.nodes.append(NodeProcess(number, "127.0.0.1", ports, "", "", tmp_path, []))
            await soak.nodes[-1].start()
        try:
            await harm(soak)
            (harmed,) = [node for node in soak.nodes if node.released_s > 0]
            return harmed.had_started()
        finally:
            for node in soak.nodes:
                await node.end()

    assert_that(asyncio.run(body()), Equals(True))
