"""Tests of class_node.py: the end of a planned stop."""

import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

# Runs a node without callers, peers and tasks to the end of its stop, and then gets a signal again.
SIGNALLED_AFTER_STOP = """
import asyncio, os, signal, sys
from types import SimpleNamespace
from springbridge_node import clock
from springbridge_node.class_router.class_node import Node

async def nothing():
    pass

async def body():
    await Node.run(SimpleNamespace(
        _stopping=asyncio.Event(),
        settings=SimpleNamespace(instance="n", peer_address="127.0.0.1:0"),
        incarnation="n.1",
        peer_service=SimpleNamespace(__mapping__=dict),
        _start_callers=lambda: SimpleNamespace(stop=lambda: None),
        _start_tasks=lambda: os.kill(os.getpid(), signal.SIGTERM),
        _drain=nothing,
        _end_tasks=nothing,
    ))

clock.run(body())
os.kill(os.getpid(), signal.Signals[sys.argv[1]])
"""


# Guards against a finished stop that counts as failed: the status was that of a signal which came
# after the event loop had reset the handlers.
@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
def test_a_signal_after_the_stop_does_not_change_the_exit_status(name):
    found = subprocess.run([sys.executable, "-c", SIGNALLED_AFTER_STOP, name], timeout=60)
    assert_that(found.returncode, Equals(0))
