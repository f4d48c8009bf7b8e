"""Stand-in endpoints (engines) that announce in answers that they leave or need rest; and callers.

Requests are recorded by the ids that the callers give, so that each arrival at an engine can be
attributed to a node.
"""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from springbridge_standins.gateway.caller import ask
from springbridge_standins.gateway.engine import Script
from springbridge_standins.gateway.fleet import Fleet
from springbridge_standins.http_wire import (
    Connection,
    RawAnswer,
    RawRequest,
    answer,
    chunk,
    event,
    stream_head,
)
from springbridge_standins.rates.statement_record import IN_PROGRESS_S

# Time per answer, so that several requests are in progress at once.
WORK_S = 0.01
# Id of the single event of a stream.
ONLY_EVENT = 1
# Longest pause of a caller between two requests.
PAUSE_S = 0.1
# Number of shared prompt prefixes, enough for each engine to be preferred for some.
SHARED_PARTS = 24


@dataclass(frozen=True, slots=True)
class Sent:
    """A request sent by a caller: to which node, and when on the monotonic clock."""

    node: int
    at_s: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived at an engine, and when on the monotonic clock."""

    request_id: str
    at_s: float


@dataclass(frozen=True, slots=True)
class AskedRest:
    """An answer that rejected a request and asked for rest: when and for how long."""

    request_id: str
    at_s: float
    rest_s: float


@dataclass
class SpeakingEngines:
    """Engines of one service, their announcements, and the requests that arrived.

    Attributes:
      leaving: Numbers of the engines that announce that they leave.
      rests_s: Rest that each engine asks for now, in seconds, by its number; without an entry it
        serves.
      sent: Requests sent by callers, by request id.
      passed_on_s: When a node first forwarded an answer of a leaving engine, by the numbers of node
        and engine.
      answers: Answers received by callers.
      arrivals: Requests that arrived at each engine.
      asked_rest: Answers of each engine that asked for rest.
    """

    service: str
    count: int
    leaving: set[int] = field(default_factory=set)
    rests_s: dict[int, float] = field(default_factory=dict)
    sent: dict[str, Sent] = field(default_factory=dict)
    passed_on_s: dict[tuple[int, int], float] = field(default_factory=dict)
    answers: list[RawAnswer] = field(default_factory=list)
    arrivals: dict[int, list[Arrival]] = field(default_factory=dict)
    asked_rest: dict[int, list[AskedRest]] = field(default_factory=dict)

    def scripts(self) -> dict[str, tuple[str, Script]]:
        """Return the engines' scripts by name, to start a fleet with."""
        return {
            f"i-{self.service}-{number + 1}": (self.service, self._script(number))
            for number in range(self.count)
        }

    def late_after_leaving(self, drain_s: float) -> int:
        """Return how many requests a node got over drain_s after it knew their engine leaves."""
        return sum(
            self.sent[arrival.request_id].at_s > passed_on_s + drain_s
            for (node, engine), passed_on_s in self.passed_on_s.items()
            for arrival in self.arrivals.get(engine, ())
            if self.sent[arrival.request_id].node == node
        )

    def most_in_a_rest(self) -> int:
        """Return the most requests from one node in a rest that it had been asked for."""
        counts = [
            sum(
                asked.at_s + IN_PROGRESS_S < arrival.at_s < asked.at_s + asked.rest_s
                and self._node(arrival) == self._node(asked)
                for arrival in self.arrivals[engine]
            )
            for engine, all_asked in self.asked_rest.items()
            for asked in all_asked
        ]
        return max(counts, default=0)

    def _node(self, of: Arrival | AskedRest) -> int:
        """Return the node that a request was sent to."""
        return self.sent[of.request_id].node

    def _script(self, number: int) -> Script:
        """Return the script of one engine."""

        async def script(request: RawRequest, connection: Connection) -> None:
            arrival = Arrival(request.request_id, time.monotonic())
            self.arrivals.setdefault(number, []).append(arrival)
            rest_s = self.rests_s.get(number)
            if rest_s is not None:
                await self._turn_away(number, request, connection, rest_s)
                return
            await asyncio.sleep(WORK_S)
            headers = {"Server_Leaving": "1"} if number in self.leaving else {}
            signature = str(number)
            if request.target.startswith(("/stream/", "/single/")):
                await connection.send(stream_head(request.request_id, signature, **headers))
                await connection.send(chunk(event(ONLY_EVENT)))
                await connection.send(chunk(b""))
            else:
                whole = answer(request.request_id, b"whole", signature=signature, **headers)
                await connection.send(whole)

        return script

    async def _turn_away(
        self, number: int, request: RawRequest, connection: Connection, rest_s: float
    ) -> None:
        """Reject a request as not executed, and ask for rest."""
        asked = AskedRest(request.request_id, time.monotonic(), rest_s)
        self.asked_rest.setdefault(number, []).append(asked)
        headers = {"Not_Executed": "1", "Retry_After": f"{rest_s:g}"}
        await connection.send(answer(request.request_id, b"", 503, signature="", **headers))


async def call_all(
    fleet: Fleet, engines: SpeakingEngines, path: str, lasts_s: float, callers: int = 2
) -> None:
    """Run callers at all nodes, each with one request after another, for lasts_s seconds."""
    numbers = itertools.count(len(engines.sent))
    end_s = time.monotonic() + lasts_s

    async def call(node: int, pause_s: float) -> None:
        while time.monotonic() < end_s:
            await call_once(fleet, engines, path, node, next(numbers))
            await asyncio.sleep(pause_s)

    await asyncio.gather(
        *(
            call(node, PAUSE_S * (1 + (node + caller) % 3) / 3)
            for node in range(len(fleet.nodes))
            for caller in range(callers)
        )
    )


async def call_once(
    fleet: Fleet, engines: SpeakingEngines, path: str, node: int, number: int
) -> RawAnswer:
    """Send one request to a node, and record its answer and whether the engine leaves."""
    request_id = f"s{number}"
    engines.sent[request_id] = Sent(node, time.monotonic())
    prompt = f"{number % SHARED_PARTS:x}:800,{number:x}f:250"
    streams = path.startswith(("/stream/", "/single/"))
    more = {"Prefix_Hash": prompt, "Token_Usage": "1050,80"} if streams else {}
    got = await ask(fleet.caller_address(node), path, Request_Id=request_id, **more)
    engines.answers.append(got)
    if "server-leaving" in got.headers:
        engine = int(got.headers["response-signature"])
        engines.passed_on_s.setdefault((node, engine), time.monotonic())
    return got
