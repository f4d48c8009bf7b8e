"""The failure of an engine that shall go on with a stream becomes a part of that stream."""

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
    EngineProcess,
    configuration,
    route,
    run_case,
)

SERVICE = "matchlm"
CLIENTS, DEADLINE_MS = 150, 12000
# Streams of 4 to 8 s, and requests of the size of a case-match.
EVENTS, PACE_S = (20, 40), 0.2
BODY = b"x" * 17000
ROUNDS, QUIET_S, GARBLE_S, DOWN_S = 8, 5.5, 5.0, 2.0


async def case(deployment: Deployment) -> int:
    """Play the case, and return its result."""
    routes = [route("case", "streaming", SERVICE, DEADLINE_MS, 2, resumable=True, sticky=True)]
    count = 5 + ROUNDS
    engines = [EngineProcess(deployment, n, SERVICE, "chunked", PACE_S) for n in range(count)]
    if not await deployment.start(3, configuration(3, routes, [SERVICE])):
        return COULD_NOT_RUN
    try:
        for engine in engines[:5]:
            await engine.start()
        await asyncio.sleep(2)
        return await play(deployment, engines)
    finally:
        for engine in engines:
            engine.end()


async def play(deployment: Deployment, engines: list[EngineProcess]) -> int:
    """Send streams, let engines crash and garble meanwhile, and return the result."""
    record = deployment.record
    wrong: list[str] = []
    counts = {"whole": 0, "cut short": 0, "413": 0, "refused or nothing": 0}
    end_s = time.monotonic() + ROUNDS * (QUIET_S + GARBLE_S) + 1

    async def use(number: int) -> None:
        client = Client(deployment.gateways[number % 3].front, record)
        await asyncio.sleep(random.uniform(0, 3))
        while time.monotonic() < end_s:
            last = random.randint(*EVENTS)
            part = f"{random.getrandbits(32):08x}"
            request_id, answer = await client.ask(
                f"/case/{last}",
                DEADLINE_MS,
                body=BODY,
                Model="m",
                Token_Usage=f"1460,{last * 4}",
                Prefix_Hash=f"{number % 16:x}1e07a2:800,{part}:660",
            )
            if answer is not None and answer.status == 413:
                counts["413"] += 1
            elif answer is None or answer.status != 200:
                counts["refused or nothing"] += 1
            elif not answer.whole:
                counts["cut short"] += 1
            else:
                counts["whole"] += 1
                if f"id: {last}\n".encode() not in answer.body:
                    got = answer.body.count(b"id: ")
                    record.note(
                        f"WRONG    {request_id}: ends as complete, {got} of {last} events,"
                        f" and ends with {answer.body[-24:]!r}"
                    )
                    wrong.append(request_id)
            await asyncio.sleep(random.uniform(0.05, 0.5))
        client.close()

    uses = [asyncio.ensure_future(use(number)) for number in range(CLIENTS)]
    up, spare = engines[:5], engines[5:]
    for _ in range(ROUNDS):
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            old = up.pop(0)
            for engine in up[:3]:
                engine.signal(signal.SIGUSR1)
            await asyncio.sleep(1)
            await old.crash()
            await asyncio.sleep(DOWN_S)
            up.append(spare.pop())
            await up[-1].start()
            await asyncio.sleep(GARBLE_S - DOWN_S - 1.5)
            for engine in up[:3]:
                engine.signal(signal.SIGUSR2)
        else:
            await asyncio.sleep(GARBLE_S)
    await asyncio.gather(*uses)
    record.note(f"streams: {counts}; ended as complete before their last event: {len(wrong)}")
    return BROKEN if wrong else HELD


# The record.txt beside run.sh.
run_case(case, record_file=Path(sys.argv[1]))
