"""Endpoints that end, on a simulated clock: what the quarantine makes of their requests.

Only the rules of the library are real (`crash_records`, `quarantine`, `trials`); nodes know of each
crash at once. That shows whom the rules take for the cause, over many more crashes than real
processes could be put through.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from springbridge.crash_records import CrashRecords, crash_id
from springbridge.quarantine import Quarantine, Standing
from springbridge.trials import Answer, Trials

# Seconds that a request runs: from, to. An endpoint that a request ends does so within the second.
RUNS_S = (0.1, 2.5)
ENDS_AFTER_S = (0.02, 0.3)
# Seconds until an endpoint that ended is back: from, to.
DOWN_S = (2.0, 4.0)
# Seconds before a caller tries again, how often, and how long a request under suspicion is held.
AGAIN_S, TRIES = 0.3, 4
HELD_S, LOOK_S = 1.0, 0.05
# Endpoints that get a repeatable request at one try.
ENDPOINTS_PER_TRY = 2


@dataclass(frozen=True)
class Scene:
    """What a simulation draws from.

    Attributes:
      endpoints: Endpoints of the service.
      per_s: Requests a second that are sent once, tries aside.
      pages: Requests that are sent again and again, and run well.
      page_per_s: How often each of them is sent in a second.
      poison: Requests that end each endpoint that runs them.
      poison_pause_s: Seconds between two sends of each.
      crashes_per_s: Endpoints a second that end by themselves.
      lasts_s: Length of the simulation.
    """

    endpoints: int = 6
    per_s: float = 12.0
    pages: int = 2
    page_per_s: float = 4.0
    poison: int = 1
    poison_pause_s: float = 0.7
    crashes_per_s: float = 0.0
    lasts_s: float = 60.0


@dataclass
class Outcome:
    """What came of a simulation.

    Attributes:
      ends: When endpoints ended under each poison request.
      sends: When each poison request reached an endpoint.
      refused: For each other request, how often it was refused for being in quarantine.
      held: For each other request, how often it was refused after being held for a trial.
      served, failed: Tries of other requests.
      refused_for_s: For each of them that was refused and then served, the seconds in between.
    """

    ends: dict[str, list[float]] = field(default_factory=dict)
    sends: dict[str, list[float]] = field(default_factory=dict)
    refused: Counter = field(default_factory=Counter)
    held: Counter = field(default_factory=Counter)
    served: int = 0
    failed: int = 0
    refused_for_s: list[float] = field(default_factory=list)

    def late_sends(self, poison: str, in_touch_s: float) -> int:
        """Return how often a request reached endpoints later than a time after its third end."""
        ends = sorted(self.ends.get(poison, []))
        if len(ends) < 3:
            return 0
        return sum(at_s > ends[2] + in_touch_s for at_s in self.sends[poison])


@dataclass
class _Endpoint:
    name: str
    runs: dict[int, "_Try"] = field(default_factory=dict)


@dataclass
class _Try:
    """One try of a request by its caller."""

    request: str
    again: int
    tried: set[str] = field(default_factory=set)
    held_until_s: float = 0.0
    on_trial: bool = False

    @property
    def holder(self) -> str:
        """Return the name of the try."""
        return str(id(self))


class CrashSimulation:
    """One simulation."""

    def __init__(self, scene: Scene, seed: int) -> None:
        """Draw the scene."""
        self.scene = scene
        self.now_s = 0.0
        self.outcome = Outcome()
        self.records = CrashRecords(lambda: self.now_s)
        self.quarantine = Quarantine(self.records)
        self._trials = Trials(self.quarantine)
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._up: dict[str, _Endpoint] = {}
        self._refused_s: dict[str, float] = {}

    def run(self) -> Outcome:
        """Let the simulated time pass and return what came of it."""
        for _ in range(self.scene.endpoints):
            self._start_endpoint()
        self._draw_arrivals()
        while self._events:
            self.now_s, _, step = heapq.heappop(self._events)
            step()
        return self.outcome

    def _later(self, after_s: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + after_s, next(self._numbers), step))

    def _draw_arrivals(self) -> None:
        """Draw when each request is sent and when endpoints end by themselves."""
        scene = self.scene
        for number in range(int(scene.per_s * scene.lasts_s)):
            self._send_at(self._rng.uniform(0, scene.lasts_s), f"once-{number}")
        for page in range(scene.pages):
            for _ in range(int(scene.page_per_s * scene.lasts_s)):
                self._send_at(self._rng.uniform(0, scene.lasts_s), f"page-{page}")
        for poison in range(scene.poison):
            first_s = self._rng.uniform(1, 8)
            for number in range(int((scene.lasts_s - first_s) / scene.poison_pause_s)):
                self._send_at(first_s + number * scene.poison_pause_s, f"poison-{poison}", TRIES)
        for _ in range(int(scene.crashes_per_s * scene.lasts_s)):
            self._later(self._rng.uniform(0, scene.lasts_s), self._end_any)

    def _send_at(self, at_s: float, request: str, again: int = 0) -> None:
        self._later(at_s, lambda: self._send(_Try(request, again)))

    def _start_endpoint(self) -> None:
        name = f"i-{next(self._numbers)}"
        self._up[name] = _Endpoint(name)

    def _end_any(self) -> None:
        """End an endpoint that no request ended."""
        if self._up:
            self._end(self._rng.choice(list(self._up.values())))

    def _end(self, endpoint: _Endpoint) -> None:
        """End an endpoint with all that it runs; another one starts later."""
        if self._up.pop(endpoint.name, None) is None:
            return
        crash = crash_id(endpoint.name, None)
        for one in endpoint.runs.values():
            self.records.record_crash(one.request, crash, one.on_trial)
        for one in endpoint.runs.values():
            self._end_trial(one)
        for one in endpoint.runs.values():
            self._send(one) if len(one.tried) < ENDPOINTS_PER_TRY else self._fail(one)
        self._later(self._rng.uniform(*DOWN_S), self._start_endpoint)

    def _fail(self, one: _Try) -> None:
        """Let the caller of a try that failed try again."""
        if _is_poison(one.request):
            return
        self.outcome.failed += 1
        if one.again < TRIES:
            self._later(AGAIN_S, lambda: self._send(_Try(one.request, one.again + 1)))

    def _send(self, one: _Try) -> None:
        """Send a request to an endpoint, or hold or refuse it."""
        free = [each for name, each in self._up.items() if name not in one.tried]
        if not free:
            self._fail(one)
            return
        if self.quarantine.verdict(one.request).standing is Standing.FREE:
            self._start(one, self._least(free))
            return
        avoided: set[str] = set()
        while True:
            left = [each for each in free if each.name not in avoided]
            if not left:
                self._hold(one)
                return
            endpoint = self._least(left)
            permission = self._trials.request(
                one.request, one.holder, endpoint.name, 10.0, len(self._up)
            )
            if permission.answer is not Answer.ANOTHER_ENDPOINT:
                break
            avoided |= set(permission.avoided)
        if permission.answer is Answer.GRANTED:
            one.on_trial = True
            self._start(one, endpoint)
        elif permission.answer is Answer.WAIT:
            self._hold(one)
        else:
            self.outcome.refused[one.request] += 1
            self._refused_s.setdefault(one.request, self.now_s)
            self._fail(one)

    def _least(self, endpoints: list[_Endpoint]) -> _Endpoint:
        """Return one of the endpoints with the fewest requests."""
        return min(endpoints, key=lambda each: (len(each.runs), self._rng.random()))

    def _hold(self, one: _Try) -> None:
        """Let a request wait for a trial, and refuse it if that takes too long."""
        one.held_until_s = one.held_until_s or self.now_s + HELD_S
        if self.now_s >= one.held_until_s:
            self.outcome.held[one.request] += 1
            self._fail(one)
        else:
            self._later(LOOK_S, lambda: self._send(one))

    def _start(self, one: _Try, endpoint: _Endpoint) -> None:
        """Run a request."""
        number = next(self._numbers)
        endpoint.runs[number] = one
        one.tried.add(endpoint.name)
        if _is_poison(one.request):
            self.outcome.sends.setdefault(one.request, []).append(self.now_s)
            self._later(
                self._rng.uniform(*ENDS_AFTER_S), lambda: self._end_under(one, endpoint, number)
            )
        else:
            self._later(self._rng.uniform(*RUNS_S), lambda: self._finish(one, endpoint, number))

    def _end_under(self, one: _Try, endpoint: _Endpoint, number: int) -> None:
        """End an endpoint under the request that does so, unless it has ended."""
        if endpoint.name in self._up and number in endpoint.runs:
            self.outcome.ends.setdefault(one.request, []).append(self.now_s)
            self._end(endpoint)

    def _finish(self, one: _Try, endpoint: _Endpoint, number: int) -> None:
        """Bring a request to a good end, unless its endpoint has ended."""
        if endpoint.name not in self._up:
            return
        del endpoint.runs[number]
        self.records.acquit(one.request)
        self._end_trial(one)
        self.outcome.served += 1
        refused_s = self._refused_s.pop(one.request, None)
        if refused_s is not None:
            self.outcome.refused_for_s.append(self.now_s - refused_s)

    def _end_trial(self, one: _Try) -> None:
        if one.on_trial:
            self._trials.finish(one.request, one.holder)
            one.on_trial = False


def _is_poison(request: str) -> bool:
    return request.startswith("poison")
