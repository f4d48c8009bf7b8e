"""Prompts of the soak with a part that crashes each engine which begins to answer them.

No two of them are alike, and they are sent to random nodes. Sound prompts share a caller and all
other parts with them. They have their own random generator, so that the other faults of a seed stay
the same.
"""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.crashing import PROMPT_HEADER
from springbridge_standins.gateway.soak.crashes import crash_and_restart
from springbridge_standins.gateway.soak.engine import digest
from springbridge_standins.gateway.soak.state import SentRequest, Soak
from springbridge_standins.http_wire import RawRequest

# Path of the prompts, of a service that no whole request of the soak crashes.
PATH = "/stream/x"
# The parts that poison and sound prompts share, the poison part, and the first part of others.
FIRST_PART, MIDDLE_PART, POISON_PART, OTHER_PART = "c0ffee", "5e55", "bad", "0de"
# Pause between two prompts of a kind.
PAUSE_S = 0.4
# Time for which an engine answers a poison prompt before it crashes.
RUN_S = 0.05
# Users' rules: the number of crashes after which the part is known, the time that the news may
# take, how many such prompts may reach engines afterwards, and the share of the sound ones that
# begin at the first attempt, of those that share no part with them, once there are enough.
KNOWN_CRASHES, CONTACT_S, MAX_LATE = 5, 3.0, 3
LEAST_SHARE, ENOUGH = 0.5, 20

_numbers = itertools.count(1)


@dataclass
class PartHarm:
    """What the soak has seen of the poison part.

    Attributes:
      arrived_s: When poison prompts arrived at engines, on the monotonic clock.
      crashed_s: When engines crashed for them, on the same clock.
      sound: For sound prompts, when each was sent, whether it shares parts with the poison ones,
        and whether it was served.
    """

    soak: Soak
    arrived_s: list[float] = field(default_factory=list)
    crashed_s: list[float] = field(default_factory=list)
    sound: list[tuple[float, bool, bool]] = field(default_factory=list)

    async def crash(self, name: str, on_end: Callable[[str], None]) -> None:
        """Crash an engine that answers a poison prompt, and restart it after a while.

        Args:
          on_end: Called with the name of the engine when it crashes.
        """
        self.arrived_s.append(time.monotonic())
        self.soak.stamp("poison part arrived", run=f"{name}/{self.soak.starts[name]}")
        await asyncio.sleep(RUN_S)
        if crash_and_restart(self.soak, name, on_end, len(self.crashed_s)):
            self.crashed_s.append(time.monotonic())
            self.soak.counts["parts: engines crashed"] += 1


def has_poison_part(request: RawRequest) -> bool:
    """Return whether a request holds the poison part, not as the last one."""
    parts = request.headers.get(PROMPT_HEADER, "").split(",")[:-1]
    return any(part.partition(":")[0] == POISON_PART for part in parts)


async def send_prompts_forever(harm: PartHarm, rng: random.Random) -> None:
    """Send poison prompts, sound ones with their other parts, and others, until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            for first, *rest in (
                (FIRST_PART, POISON_PART, MIDDLE_PART),
                (FIRST_PART, MIDDLE_PART),
                (OTHER_PART,),
            ):
                address = rng.choice(harm.soak.nodes).caller_address
                group.create_task(_send(harm, address, [first, *rest]))
            await asyncio.sleep(PAUSE_S)


async def _send(harm: PartHarm, address: str, parts: list[str]) -> None:
    """Send one prompt, and record the result of a sound one; errors count as not served."""
    soak, number = harm.soak, next(_numbers)
    request_id = f"parts-{number}"
    body = b"prompt %d" % number
    sent_s = time.monotonic()
    soak.sent[request_id] = SentRequest(PATH, digest(body), address, sent_s)
    shown = ",".join(f"{part}:100" for part in [*parts, f"{number:x}f"])
    status = 0
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        connection = await CallerConnection.open(address)
        try:
            options = {"Request_Id": request_id, "Prefix_Hash": shown, "Token_Usage": "400,40"}
            got = await connection.ask(PATH, method="POST", body=body, **options)
            status = got.status if got.is_complete else 0
        finally:
            connection.close()
    if POISON_PART in parts:
        soak.counts[f"parts: poison {status}"] += 1
        return
    is_twin = FIRST_PART in parts
    soak.counts[f"parts: {'twin' if is_twin else 'other'} {status}"] += 1
    harm.sound.append((sent_s, is_twin, status == 200))


def check_parts(harm: PartHarm) -> None:
    """Check that few engines got poison prompts late, and that sound ones were served."""
    if not harm.crashed_s:
        return
    last_s = sorted(harm.crashed_s)[:KNOWN_CRASHES][-1]
    late = sum(at_s > last_s + CONTACT_S for at_s in harm.arrived_s)
    if len(harm.crashed_s) >= KNOWN_CRASHES and late > MAX_LATE:
        harm.soak.violated(
            "a part that crashes engines is kept from them", f"{late} arrivals once it was known"
        )
    twins, others = (_served_after(harm, last_s + 2 * CONTACT_S, each) for each in (True, False))
    if min(len(twins), len(others)) < ENOUGH or not any(others):
        return
    share = sum(twins) / len(twins)
    if share < LEAST_SHARE * sum(others) / len(others):
        harm.soak.violated(
            "sound prompts with its other parts are served", f"{share:.2f} of {len(twins)}"
        )


def _served_after(harm: PartHarm, since_s: float, is_twin: bool) -> list[bool]:
    """Return whether each of the sound prompts of a kind was served that was sent after a time."""
    return [served for sent_s, twin, served in harm.sound if sent_s > since_s and twin is is_twin]
