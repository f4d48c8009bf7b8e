"""Runs a node process: start, reload of the settings, planned stop.

Owns the signal handlers and watches the settings file. routing/planned_stop.py has the times of a
planned stop, and the gateway its steps.
"""

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator, Callable
from typing import NoReturn

from springbridge.routing import planned_stop

from springbridge_node import logs
from springbridge_node.gateway.gateway import Gateway
from springbridge_node.gateway.gateway_settings import GatewaySettings
from springbridge_node.periodic import pause

# Seconds between two checks whether the last answer has been sent. Short, so that a stop takes
# hardly longer than its answers.
POLL_S = 0.02
# Seconds between two checks of the settings file. SIGHUP triggers a reload at once, so this only
# bounds the delay of a change without the signal.
SETTINGS_POLL_S = 1.0

# Exceptions from a settings file that is unreadable, lacks a value or has a value of another type.
SETTINGS_ERRORS = (ValueError, KeyError, OSError, TypeError, IndexError, AttributeError)

# Signals that a node handles while it runs.
HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})

Load = Callable[[], GatewaySettings]


@contextlib.asynccontextmanager
async def running(gateway: Gateway) -> AsyncIterator[Gateway]:
    """Start a gateway, and end it when the context exits."""
    await gateway.start()
    try:
        yield gateway
    finally:
        await gateway.end()


async def run(gateway: Gateway, settings_path: str, load: Load) -> None:
    """Run a node until SIGTERM or SIGINT, then perform a planned stop.

    Leaves these signals and SIGHUP blocked, so that later ones do not change the exit status.

    Args:
      settings_path: Settings file; a change of it, or SIGHUP, triggers a reload.
      load: Reads and checks that file.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    changed = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    async with running(gateway):
        logs.event(
            "node.started",
            instance=gateway.settings.name,
            incarnation=gateway.membership.me.incarnation,
            pid=os.getpid(),
        )
        reloading = asyncio.ensure_future(_reload(gateway, settings_path, load, changed))
        await stop.wait()
        await stop_planned(gateway)
        reloading.cancel()
    logs.event("node.stopped", instance=gateway.settings.name)
    # The event loop resets the handlers when it closes, and the default action of a signal that
    # comes after it would turn a finished stop into a failed one.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def end_process() -> NoReturn:
    """End the process after run(), without the interpreter's clean-up.

    The clean-up frees memory that the kernel frees anyway. It takes 0.1 s of processor time, ten
    times as much as the rest of a stop after the last answer, and so outlasts END_MARGIN_S of the
    grace period where a node gets less than half a core.
    """
    os._exit(os.EX_OK)


async def stop_planned(gateway: Gateway) -> None:
    """Perform a planned stop; return once all answers are sent or the grace is nearly over."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    grace_s = gateway.settings.grace_s
    end_s = began_s + planned_stop.last_answer_s(grace_s)
    logs.event("node.leaving", in_progress=len(gateway.listener.in_progress))
    gateway.leave()
    releasing = asyncio.ensure_future(gateway.release_duties())
    await asyncio.sleep(planned_stop.serve_on_s(grace_s))
    gateway.refuse_new()
    await _wait_for_answers(gateway, end_s)
    given_up = len(gateway.listener.in_progress)
    if given_up:
        gateway.give_up_requests()
        await _wait_for_answers(gateway, end_s + planned_stop.GIVING_UP_S)
    # If the store has not acknowledged the release by now, the successor waits until the lease has
    # expired.
    releasing.cancel()
    logs.event(
        "node.left",
        given_up=given_up,
        cut_off=len(gateway.listener.in_progress),
        seconds=round(loop.time() - began_s, 3),
    )


async def _wait_for_answers(gateway: Gateway, end_s: float) -> None:
    """Wait until no request is in progress, or until a time on the clock of the event loop."""
    while gateway.in_progress() and asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(POLL_S)


async def _reload(gateway: Gateway, settings_path: str, load: Load, changed: asyncio.Event) -> None:
    """Reload the settings whenever the file has changed or SIGHUP was received."""
    seen = _file_version(settings_path)
    while True:
        await pause(SETTINGS_POLL_S, changed)
        signalled = changed.is_set()
        changed.clear()
        now = _file_version(settings_path)
        if now == seen and not signalled:
            continue
        seen = now
        try:
            gateway.reload(load())
        except SETTINGS_ERRORS as exc:
            logs.event("settings.refused", kind=type(exc).__name__, detail=str(exc))
        except Exception as exc:
            # The settings before stay in force, and the next change is read.
            logs.fault(exc, "settings")


def _file_version(path: str) -> tuple[int, int]:
    """Return modification time and inode of a file; a rewrite changes at least one of them."""
    try:
        found = os.stat(path)
    except OSError:
        # A missing file counts as changed; the reload that follows logs the error.
        return (0, 0)
    return (found.st_mtime_ns, found.st_ino)
