"""Engines of the soak that state in their answers that they leave, or ask nodes for rest.

Like the rates that engines name, this part has its own random generator.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

from springbridge_standins.gateway.soak.rates import EngineRates
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.rates.statement_record import DRAIN_S, IN_PROGRESS_S

# Shortest and longest time that a leaving engine keeps serving, and that it is down after that.
SERVING_S, DOWN_S = (2.5, 6.0), (0.3, 1.5)
# Rests that engines ask for, and shortest and longest time for which an engine does so.
RESTS_S, SHEDDING_S = (0.2, 1.0, 3.0, 8.0, 30.0), (0.3, 4.0)
# Longest pause before another engine begins to leave or to ask for rest.
PAUSE_S = 2.5
# Most requests that one node may send during a rest: the users' rule.
MAX_REQUESTS_IN_REST = 2


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an incarnation of an engine.

    Attributes:
      incarnation: Name of the engine and number of its restarts.
      node: Caller address of the node that sent it.
      sent_s: When its caller sent it, on the monotonic clock.
      at_s: When it arrived, on the same clock.
      is_excused: Whether a fault affected that node, or its link to the engine, shortly before.
      disrupted_s: When that node was last killed, stopped or frozen before the arrival.
    """

    incarnation: str
    node: str
    sent_s: float
    at_s: float
    is_excused: bool
    disrupted_s: float


@dataclass(frozen=True, slots=True)
class RestRequest:
    """A request for rest in an answer of an engine, and the node that got it."""

    incarnation: str
    node: str
    at_s: float
    rest_s: float


@dataclass
class EngineStatements:
    """What the engines state in their answers, and the requests that reached them.

    Attributes:
      leaving: Names of the engines that say that they leave.
      rests_s: The rest that each engine asks for at present, by its name.
    """

    soak: Soak
    rates: EngineRates
    leaving: set[str] = field(default_factory=set)
    rests_s: dict[str, float] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    rest_requests: list[RestRequest] = field(default_factory=list)

    def on_arrival(self, name: str, request_id: str) -> None:
        """Record that a request arrives at an engine."""
        self.rates.on_arrival(name, request_id)
        sent = self.soak.sent.get(request_id)
        run = self.incarnation_of(name)
        sender = sent and self.soak.node_at(sent.caller_address).name
        self.soak.stamp("arrived", run=run, request_id=request_id, node=sender)
        if sent is not None:
            excused = self.rates.is_excused(name, request_id)
            now_s = time.monotonic()
            node = self.soak.node_at(sent.caller_address)
            disrupted_s = now_s if node.busy else node.released_s
            self.arrivals.append(
                Arrival(
                    self.incarnation_of(name),
                    sent.caller_address,
                    sent.sent_s,
                    now_s,
                    excused,
                    disrupted_s,
                )
            )

    def headers(self, name: str) -> dict[str, str]:
        """Return the headers that an engine adds to an answer."""
        headers = self.rates.headers(name)
        if name in self.leaving:
            headers |= {"Server_Leaving": "1", "Instance_Id": self.incarnation_of(name)}
        return headers

    def rest_s(self, name: str, request_id: str) -> float | None:
        """Return the rest that an engine asks for in a refusal; None if it serves the request."""
        rest_s = self.rests_s.get(name)
        sent = self.soak.sent.get(request_id)
        if rest_s is not None and sent is not None:
            rest_request = RestRequest(
                self.incarnation_of(name), sent.caller_address, time.monotonic(), rest_s
            )
            self.rest_requests.append(rest_request)
            node = self.soak.node_at(sent.caller_address).name
            self.soak.stamp(
                "asked for rest", run=rest_request.incarnation, node=node, rest_s=rest_s
            )
        return rest_s

    def on_end(self, name: str) -> None:
        """Record that an engine ends; its next incarnation makes no statement at first."""
        self.soak.stamp("ended", run=self.incarnation_of(name))
        self.rates.on_end(name)
        self.leaving.discard(name)
        self.rests_s.pop(name, None)

    def incarnation_of(self, name: str) -> str:
        """Return the name of an engine's current incarnation."""
        return f"{name}/{self.soak.starts[name]}"


async def make_statements_forever(
    soak: Soak, statements: EngineStatements, rng: random.Random
) -> None:
    """Let random engines, several at a time, leave or ask for rest, until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.random() * PAUSE_S)
            name = rng.choice(sorted(soak.engines))
            work = rng.choice([_leave, _shed])
            group.create_task(work(soak, statements, rng, name))


async def _leave(soak: Soak, statements: EngineStatements, rng: random.Random, name: str) -> None:
    """Let an engine say that it leaves, stop and restart.

    Its row is set to draining, removed, or left as it is, each in a third of the cases.
    """
    if name in statements.leaving or not soak.proxy_of(name).is_listening:
        return
    incarnation = statements.incarnation_of(name)
    statements.leaving.add(name)
    soak.counts["engines that leave"] += 1
    soak.stamp("leaves", run=incarnation)
    match rng.randrange(3):
        case 0:
            await soak.list_engine(name, "draining")
        case 1:
            soak.stamp("row removed", engine=name)
            await soak.unlist_engine(name)
    await asyncio.sleep(rng.uniform(*SERVING_S))
    if statements.incarnation_of(name) != incarnation or not soak.proxy_of(name).is_listening:
        # Another fault has stopped the engine.
        return
    soak.proxy_of(name).stop()
    soak.engines[name].stop()
    statements.on_end(name)
    await asyncio.sleep(rng.uniform(*DOWN_S))
    await restart_engine(soak, name)


async def _shed(soak: Soak, statements: EngineStatements, rng: random.Random, name: str) -> None:
    """Let an engine refuse requests and ask for rest for a while."""
    if name in statements.rests_s:
        return
    soak.counts["engines that ask for rest"] += 1
    incarnation = statements.incarnation_of(name)
    statements.rests_s[name] = rng.choice(RESTS_S)
    await asyncio.sleep(rng.uniform(*SHEDDING_S))
    if statements.incarnation_of(name) == incarnation:
        statements.rests_s.pop(name, None)


async def restart_engine(soak: Soak, name: str) -> None:
    """Restart an engine at its address, as a run with an id of its own."""
    soak.begin_run(name)
    await soak.engines[name].start()
    await soak.proxy_of(name).start(soak.proxy_of(name).address)
    await soak.unlist_ended()
    soak.stamp("started", run=f"{name}/{soak.starts[name]}")
    await soak.list_engine(name, "ready")


def check_statements(soak: Soak, statements: EngineStatements) -> None:
    """Check that nodes sent no new requests to leaving engines and kept the rests asked of them."""
    for arrival in statements.arrivals:
        leaving_relayed_s = soak.leaving_relayed_s.get((arrival.node, arrival.incarnation))
        if leaving_relayed_s is None or arrival.sent_s <= leaving_relayed_s + DRAIN_S:
            continue
        if arrival.disrupted_s < leaving_relayed_s:
            late_s = arrival.sent_s - leaving_relayed_s
            detail = (
                f"{arrival.incarnation} from {soak.node_at(arrival.node).name} "
                f"{late_s:.2f} s later"
            )
            soak.violated("nothing new for an engine that leaves", detail)
    for rest_request in statements.rest_requests:
        count = sum(_is_in_rest(arrival, rest_request) for arrival in statements.arrivals)
        if count > MAX_REQUESTS_IN_REST:
            detail = (
                f"{rest_request.incarnation} got {count} "
                f"from {soak.node_at(rest_request.node).name}"
            )
            soak.violated("rest for an engine that asks for it", detail)


def _is_in_rest(arrival: Arrival, rest_request: RestRequest) -> bool:
    """Return whether a request came from the node that was asked for a rest, during that rest.

    A node that was killed, stopped or frozen since then is excused, as it may have lost the state.
    """
    is_between = (
        rest_request.at_s + IN_PROGRESS_S < arrival.at_s < rest_request.at_s + rest_request.rest_s
    )
    is_pair = (arrival.incarnation, arrival.node) == (rest_request.incarnation, rest_request.node)
    return (
        is_between
        and is_pair
        and not arrival.is_excused
        and arrival.disrupted_s < rest_request.at_s
    )
