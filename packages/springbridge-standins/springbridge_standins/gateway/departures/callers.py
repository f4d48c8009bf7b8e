"""Callers of the rig: they ask for streams, and take up those that are cut off at another node."""

import asyncio
import contextlib
import itertools
import random
import re
import time
from collections import Counter
from dataclasses import dataclass, field

from springbridge_standins.gateway.caller import CallerConnection
from springbridge_standins.gateway.departures.rig import TIMEOUT_MS, Rig

# Shortest and longest stream, in events.
EVENTS = (20, 100)
# Answers that a caller asks for until it has its whole stream.
MAX_TRIES = 4
# Longest time in seconds for which a caller tries to reach any node.
MAX_REACH_S = 6.0
# Longest pause of a caller between two streams, and before it comes back, in seconds.
MAX_PAUSE_S, COME_BACK_S = 0.3, 0.1
EVENT = re.compile(rb"id: (\d+)\ndata: \S+\n\n")


@dataclass
class Outcomes:
    """What callers got.

    Attributes:
      counts: Streams by what became of them.
      given_up: The last requests of streams that their callers gave up, with what came.
      false_whole: Requests whose answers ended as complete before the last event, with what came.
      disorder: Requests of streams whose events are not in order.
      come_backs: Requests that took a stream up again.
      gone_on: Those of them that brought an event.
    """

    counts: Counter = field(default_factory=Counter)
    given_up: dict[str, str] = field(default_factory=dict)
    false_whole: dict[str, str] = field(default_factory=dict)
    disorder: dict[str, str] = field(default_factory=dict)
    come_backs: int = 0
    gone_on: int = 0


@dataclass
class _Stream:
    """A stream that a caller asks for, and the ids of the events that it has."""

    last: int
    first_id: str = ""
    numbers: list[int] = field(default_factory=list)


async def call_forever(rig: Rig, number: int, outcomes: Outcomes) -> None:
    """Ask for one stream after another until cancelled."""
    rng = random.Random(f"{number}")
    ids = (f"c{number}-{each}" for each in itertools.count(1))
    while True:
        stream = _Stream(rng.randint(*EVENTS))
        outcomes.counts[await _get(rig, rng, ids, stream, outcomes)] += 1
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)


async def _get(rig: Rig, rng: random.Random, ids, stream: _Stream, outcomes: Outcomes) -> str:
    """Ask for a stream until it is whole, and return what became of it."""
    node = rng.randrange(len(rig.nodes))
    for attempt in range(MAX_TRIES):
        request_id = next(ids)
        conn = await _reach(rig, node + attempt)
        if conn is None:
            return "no node reached"
        stream.first_id = stream.first_id or request_id
        became = await _ask(conn, request_id, stream, outcomes)
        if became:
            return became
        await asyncio.sleep(COME_BACK_S)
    outcomes.given_up[request_id] = f"{len(stream.numbers)} of {stream.last} events"
    return "given up"


async def _reach(rig: Rig, first: int) -> CallerConnection | None:
    """Return a connection to the first node that takes one, None if none does in MAX_REACH_S."""
    give_up_s = time.monotonic() + MAX_REACH_S
    for number in itertools.count(first):
        address = rig.nodes[number % len(rig.nodes)].caller_address
        with contextlib.suppress(OSError):
            return await CallerConnection.open(address)
        if time.monotonic() > give_up_s:
            break
        await asyncio.sleep(COME_BACK_S)
    return None


async def _ask(conn: CallerConnection, request_id: str, stream: _Stream, outcomes: Outcomes) -> str:
    """Ask for what is missing of a stream; return what became of it, "" if it is to be resumed."""
    headers = {"Request_Id": request_id, "Deadline_Ms": str(TIMEOUT_MS)}
    if stream.numbers:
        headers |= {"Last_Event_Id": str(stream.numbers[-1]), "Resumes": stream.first_id}
    comes_back = bool(stream.numbers)
    outcomes.come_backs += comes_back
    try:
        # Requests that are alike count as one, which several crashes put into quarantine.
        body = stream.first_id.encode()
        got = await conn.ask(f"/stream/{stream.last}", method="POST", body=body, **headers)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return ""
    finally:
        conn.close()
    if got.status != 200:
        return ""
    numbers = [int(each) for each in EVENT.findall(got.body)]
    outcomes.gone_on += comes_back and bool(numbers)
    stream.numbers += numbers
    if stream.numbers != list(range(1, len(stream.numbers) + 1)):
        outcomes.disorder[request_id] = str(stream.numbers[-12:])
        return "disorder"
    if not got.is_complete:
        return ""
    if len(stream.numbers) < stream.last:
        outcomes.false_whole[request_id] = f"{len(stream.numbers)} of {stream.last} events"
        return "false whole"
    return "whole"
