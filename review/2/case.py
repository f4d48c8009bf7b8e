"""Clients get no answer while an engine is dark and no other gateway runs."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from standins import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    TROUBLE,
    Client,
    Deployment,
    Engine,
    configuration,
    route,
    run_case,
)

# LOST: "More than three times, at any point, a machine in touch closes a kept connection ..."
ALLOWED = 3
CLIENTS, PAUSE_S, DEADLINE_MS = 40, 0.4, 1000
QUIET_S, ALONE_S, DARK_S, TIMES = 4.0, 5.0, 4.5, 3


async def case(deployment: Deployment) -> int:
    """Play the case, and return its result."""
    record, store = deployment.record, deployment.store
    config = configuration(3, [route("courier", "safe", "claimdesk", 1000, 2)], ["claimdesk"])
    if not await deployment.start(2, config):
        return COULD_NOT_RUN
    engines = [Engine(store, record, "claimdesk", 6, 0.045, 0.14) for _ in range(6)]
    for number, engine in enumerate(engines):
        await engine.start(f"{deployment.net}.{100 + number}")
    await asyncio.sleep(2)
    kept, spare = deployment.gateways
    clients = [Client(kept.front, record) for _ in range(CLIENTS)]
    asked = 0
    end_s = time.monotonic() + QUIET_S + TIMES * (ALONE_S + DARK_S) + 1

    async def use(number: int) -> None:
        nonlocal asked
        await asyncio.sleep(PAUSE_S * number / CLIENTS)
        while time.monotonic() < end_s:
            await clients[number].ask("/courier/7", DEADLINE_MS, method="GET", body=b"")
            asked += 1
            await asyncio.sleep(random.uniform(0.5, 1.5) * PAUSE_S)
        clients[number].close()

    uses = [asyncio.ensure_future(use(number)) for number in range(CLIENTS)]
    await asyncio.sleep(QUIET_S)
    if TROUBLE:
        record.note(f"SIGTERM  {spare.name}, which leaves for good")
        spare.signal(signal.SIGTERM)
    for number in range(TIMES):
        await asyncio.sleep(ALONE_S)
        if TROUBLE:
            engines[number].go_dark()
        await asyncio.sleep(DARK_S)
        if TROUBLE:
            engines[number].end()
            engines.append(Engine(store, record, "claimdesk", 6, 0.045, 0.14))
            await engines[-1].start(f"{deployment.net}.{110 + number}")
    await asyncio.gather(*uses)
    sound = set().union(*(engine.ran_soundly for engine in engines))
    closed = [each for client in clients for each in client.closed]
    lost = [each for client in clients for each in client.closed_kept if each in sound]
    record.note(
        f"{asked} requests; connections that the gateway closed without an answer: {len(closed)};"
        f" kept ones after a sound engine had run the request: {len(lost)} (allowed: {ALLOWED})"
    )
    return BROKEN if len(lost) > ALLOWED else HELD


# The record.txt beside run.sh.
run_case(case, record_file=Path(sys.argv[1]))
