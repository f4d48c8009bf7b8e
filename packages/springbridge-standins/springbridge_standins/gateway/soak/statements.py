"""Engines of the soak that say in their answers that they leave, or ask nodes for rest.

Like the rates that they name it draws from a source of chance of its own.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

from springbridge_standins.gateway.soak.rates import EngineRates
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.rates.statement_record import DRAIN_S, IN_PROGRESS_S

# Seconds for which an engine that leaves serves on, from and to, and for which it is down then.
SERVES_ON_S, DOWN_S = (2.5, 6.0), (0.3, 1.5)
# Rests that are asked for, in seconds, and how long an engine asks for them, from and to.
RESTS_S, SHEDS_S = (0.2, 1.0, 3.0, 8.0, 30.0), (0.3, 4.0)
# Longest pause between two engines that begin to leave or to ask for rest, in seconds.
PAUSE_S = 2.5
# The most requests from one node in a rest, the users' rule.
MOST_IN_A_REST = 2


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a run of an engine.

    Attributes:
      run: Name of the engine and number of its start.
      node: Address for callers of the node that sent it.
      sent_s: When its caller sent it, on the monotonic clock.
      is_excused: Whether that node, or its way to the engine, was harmed a moment before.
      harmed_s: When that node was last killed, stopped or frozen until then.
    """

    run: str
    node: str
    sent_s: float
    at_s: float
    is_excused: bool
    harmed_s: float


@dataclass(frozen=True, slots=True)
class AskedRest:
    """A wish for rest, and which node got it."""

    run: str
    node: str
    at_s: float
    rest_s: float


@dataclass
class EngineStatements:
    """What the engines say, and what reached them.

    Attributes:
      leaving: Names of the engines that say they leave.
      rests_s: The rest that an engine asks for now, by its name.
    """

    soak: Soak
    rates: EngineRates
    leaving: set[str] = field(default_factory=set)
    rests_s: dict[str, float] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    asked_rest: list[AskedRest] = field(default_factory=list)

    def arrived(self, name: str, request_id: str) -> None:
        """Note that a request arrives at an engine."""
        self.rates.arrived(name, request_id)
        asked = self.soak.asked.get(request_id)
        if asked is not None:
            excused = self.rates.is_excused(name, request_id)
            now_s = time.monotonic()
            node = self.soak.node_at(asked.callers)
            harmed_s = now_s if node.busy else node.freed_s
            self.arrivals.append(
                Arrival(self.run_of(name), asked.callers, asked.sent_s, now_s, excused, harmed_s)
            )

    def headers(self, name: str) -> dict[str, str]:
        """Return the headers for an answer of an engine."""
        headers = self.rates.headers(name)
        if name in self.leaving:
            headers |= {"Server_Leaving": "1", "Instance_Id": self.run_of(name)}
        return headers

    def rest_s(self, name: str, request_id: str) -> float | None:
        """Return the rest that an engine asks for as it turns a request away; None if it serves."""
        rest_s = self.rests_s.get(name)
        asked = self.soak.asked.get(request_id)
        if rest_s is not None and asked is not None:
            wish = AskedRest(self.run_of(name), asked.callers, time.monotonic(), rest_s)
            self.asked_rest.append(wish)
        return rest_s

    def ended(self, name: str) -> None:
        """Note that an engine ends; its next run says nothing."""
        self.rates.ended(name)
        self.leaving.discard(name)
        self.rests_s.pop(name, None)

    def run_of(self, name: str) -> str:
        """Return the name of an engine's present run."""
        return f"{name}/{self.soak.starts[name]}"


async def say_forever(soak: Soak, says: EngineStatements, rng: random.Random) -> None:
    """Let one engine after another leave or ask for rest; several do at a time."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.random() * PAUSE_S)
            name = rng.choice(sorted(soak.engines))
            work = rng.choice([_leave, _shed])
            group.create_task(work(soak, says, rng, name))


async def _leave(soak: Soak, says: EngineStatements, rng: random.Random, name: str) -> None:
    """Let an engine say that it leaves, with its row or without, end, and start again."""
    if name in says.leaving or not soak.proxy_of(name).is_listening:
        return
    run = says.run_of(name)
    says.leaving.add(name)
    soak.counts["engines that leave"] += 1
    match rng.randrange(3):
        case 0:
            await soak.list_engine(name, "draining")
        case 1:
            await soak.store.remove("servers", name)
    await asyncio.sleep(rng.uniform(*SERVES_ON_S))
    if says.run_of(name) != run or not soak.proxy_of(name).is_listening:
        # Another harm has ended it.
        return
    soak.proxy_of(name).stop()
    soak.engines[name].stop()
    says.ended(name)
    await asyncio.sleep(rng.uniform(*DOWN_S))
    await start_anew(soak, name)


async def _shed(soak: Soak, says: EngineStatements, rng: random.Random, name: str) -> None:
    """Let an engine turn requests away and ask for rest for a while."""
    if name in says.rests_s:
        return
    soak.counts["engines that ask for rest"] += 1
    run = says.run_of(name)
    says.rests_s[name] = rng.choice(RESTS_S)
    await asyncio.sleep(rng.uniform(*SHEDS_S))
    if says.run_of(name) == run:
        says.rests_s.pop(name, None)


async def start_anew(soak: Soak, name: str) -> None:
    """Start an engine again under its id and at its address, with another start in its entry."""
    await soak.engines[name].start()
    await soak.proxy_of(name).start(soak.proxy_of(name).address)
    soak.starts[name] += 1
    await soak.list_engine(name, "ready")


def check_statements(soak: Soak, says: EngineStatements) -> None:
    """Check that nothing reached engines that had left for a node, or that rested from it."""
    for arrival in says.arrivals:
        passed_on_s = soak.passed_on_s.get((arrival.node, arrival.run))
        if passed_on_s is None or arrival.sent_s <= passed_on_s + DRAIN_S:
            continue
        if arrival.harmed_s < passed_on_s:
            late_s = arrival.sent_s - passed_on_s
            detail = f"{arrival.run} from {soak.node_at(arrival.node).name} {late_s:.2f} s later"
            soak.violated("nothing new for an engine that leaves", detail)
    for wish in says.asked_rest:
        count = sum(_is_in_rest(arrival, wish) for arrival in says.arrivals)
        if count > MOST_IN_A_REST:
            detail = f"{wish.run} got {count} from {soak.node_at(wish.node).name}"
            soak.violated("rest for an engine that asks for it", detail)


def _is_in_rest(arrival: Arrival, wish: AskedRest) -> bool:
    """Return whether a request came from a node in the rest that was asked of it.

    A node that was killed, stopped or frozen since then is excused: it may have forgotten.
    """
    is_between = wish.at_s + IN_PROGRESS_S < arrival.at_s < wish.at_s + wish.rest_s
    is_pair = (arrival.run, arrival.node) == (wish.run, wish.node)
    return is_between and is_pair and not arrival.is_excused and arrival.harmed_s < wish.at_s
