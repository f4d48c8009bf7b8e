"""Tests of lifecycle.py: order and duration of a planned stop, and reloads of the settings."""

import asyncio
import subprocess
import sys
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from springbridge_node.gateway import lifecycle
from springbridge_node.gateway.lifecycle import stop_planned

GRACE_S = 0.6


class Leaving:
    """A stand-in for a gateway that records the steps of its stop, with one answer in progress."""

    def __init__(self):
        self.settings = SimpleNamespace(grace_s=GRACE_S)
        self.listener = SimpleNamespace(in_progress={"an answer"})
        self.steps = []

    def leave(self):
        """Note the step."""
        self.steps.append("leave")

    def in_progress(self):
        """Return how many answers are in progress."""
        return len(self.listener.in_progress)

    async def release_duties(self):
        """Note the step."""
        self.steps.append("hand on")

    def refuse_new(self):
        """Note the step."""
        self.steps.append("refuse")

    def give_up_requests(self):
        """Note the step."""
        self.steps.append("give up")


@pytest.fixture
def gateway():
    """Return a gateway with one request in progress."""
    return Leaving()


def stopped_after(gateway, answered_after_s):
    """Stop a gateway and return how long the stop took, in seconds."""

    async def body():
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        loop.call_later(answered_after_s, gateway.listener.in_progress.clear)
        await stop_planned(gateway)
        gateway.steps.append("end")
        return loop.time() - began_s

    return asyncio.run(body())


def test_a_node_leaves_before_it_refuses_and_ends_last(gateway):
    stopped_after(gateway, 0.0)
    assert_that(gateway.steps, Equals(["leave", "hand on", "refuse", "end"]))


def test_a_node_that_has_answered_all_still_serves_on_for_callers_with_old_addresses(gateway):
    assert_that(stopped_after(gateway, 0.0) >= GRACE_S / 2, Equals(True))


def test_a_node_does_not_wait_beyond_its_grace_for_an_answer(gateway):
    assert_that(stopped_after(gateway, 20 * GRACE_S), LessThan(10 * GRACE_S))


# Guards against requests that are cut off without an answer, and against any given up too early.
def test_a_node_gives_up_what_outlasts_its_grace_as_its_last_step(gateway):
    stopped_after(gateway, 20 * GRACE_S)
    assert_that(gateway.steps, Equals(["leave", "hand on", "refuse", "give up", "end"]))


class Reloaded(Leaving):
    """A stand-in for a gateway that records the reloaded settings."""

    def reload(self, settings):
        """Note the settings."""
        self.steps.append(settings)


@pytest.mark.parametrize(
    "error",
    [TypeError, IndexError, AttributeError, ValueError, KeyError, RuntimeError],
)
def test_settings_of_the_wrong_shape_are_refused_and_later_ones_taken(tmp_path, error):
    # Guards against settings of a wrong type that end the reload task for the rest of the process's
    # life.
    gateway = Reloaded()
    results = [error("listen"), "later"]

    def load():
        found = results.pop(0)
        if isinstance(found, Exception):
            raise found
        return found

    async def body():
        changed = asyncio.Event()
        task = asyncio.ensure_future(lifecycle._reload(gateway, str(tmp_path), load, changed))
        while results and not task.done():
            changed.set()
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(body())
    assert_that(gateway.steps, Equals(["later"]))


# Runs a stand-in for a gateway to the end of its stop, and then gets a signal again.
SIGNALLED_AFTER_STOP = """
import asyncio, os, signal, sys
from types import SimpleNamespace
from springbridge_node.gateway import lifecycle
from springbridge_node.gateway.lifecycle_test import Leaving

class Running(Leaving):
    membership = SimpleNamespace(me=SimpleNamespace(incarnation="n.1"))
    async def start(self):
        self.settings.name = "n"
        self.listener.in_progress.clear()
        os.kill(os.getpid(), signal.SIGTERM)
    async def end(self):
        pass

async def body():
    await lifecycle.run(Running(), "", None)

asyncio.run(body())
os.kill(os.getpid(), signal.Signals[sys.argv[1]])
"""


# Guards against a finished stop that counts as failed: the status was that of a signal which came
# after the event loop had reset the handlers.
@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM", "SIGINT"])
def test_a_signal_after_the_stop_does_not_change_the_exit_status(name):
    found = subprocess.run([sys.executable, "-c", SIGNALLED_AFTER_STOP, name], timeout=60)
    assert_that(found.returncode, Equals(0))
