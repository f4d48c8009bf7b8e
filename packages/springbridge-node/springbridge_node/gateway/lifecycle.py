"""Start, planned stop and reload of a node process.

A planned stop cuts nothing off. Callers keep addresses for a while, so the node serves on until
those answers are old, then takes no further request, and ends when the last answer is out.
"""

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator, Callable

from springbridge_node import logs
from springbridge_node.gateway.gateway import Gateway
from springbridge_node.gateway.gateway_settings import GatewaySettings

SERVE_ON_S = 2.8
END_MARGIN_S = 0.25
POLL_S = 0.02
SETTINGS_POLL_S = 1.0

Load = Callable[[], GatewaySettings]


@contextlib.asynccontextmanager
async def running(gateway: Gateway) -> AsyncIterator[Gateway]:
    """Start a node and stop its tasks at the end."""
    await gateway.start()
    try:
        yield gateway
    finally:
        await gateway.end()


async def run(gateway: Gateway, settings_path: str, load: Load) -> None:
    """Run a node until SIGTERM, and its planned stop."""
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


async def stop_planned(gateway: Gateway) -> None:
    """Leave, and wait until all answers are out or the grace is over."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    end_s = began_s + gateway.settings.grace_s - END_MARGIN_S
    logs.event("node.leaving", in_progress=len(gateway.listener.in_progress))
    gateway.leave()
    await asyncio.sleep(min(SERVE_ON_S, gateway.settings.grace_s / 2))
    gateway.refuse_new()
    while gateway.listener.in_progress and loop.time() < end_s:
        await asyncio.sleep(POLL_S)
    logs.event(
        "node.left",
        cut_off=len(gateway.listener.in_progress),
        seconds=round(loop.time() - began_s, 3),
    )


async def _reload(gateway: Gateway, settings_path: str, load: Load, changed: asyncio.Event) -> None:
    """Take over the settings file when a signal says so or the file has changed."""
    seen = _modified(settings_path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_S):
                await changed.wait()
        signalled = changed.is_set()
        changed.clear()
        now = _modified(settings_path)
        if now == seen and not signalled:
            continue
        seen = now
        try:
            gateway.reload(load())
        except (ValueError, KeyError, OSError) as exc:
            logs.event("settings.refused", kind=type(exc).__name__, detail=str(exc))


def _modified(path: str) -> tuple[int, int]:
    """Return what changes when a file is written anew."""
    try:
        found = os.stat(path)
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_ino)
