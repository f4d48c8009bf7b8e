"""Simulates endpoint crashes on a virtual clock, to show which requests get quarantined.

Only the rules of the library are real (`crash_records`, `quarantine`, `trials`); every node knows
of each crash at once. This shows which requests the rules blame, over many more crashes than could
be run with real processes.
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

# Range of the run time of a request, and of the time from its start to the crash it causes.
REQUEST_DURATION_S = (0.1, 2.5)
CRASH_DELAY_S = (0.02, 0.3)
# Range of the time until a crashed endpoint is replaced.
RESTART_DELAY_S = (2.0, 4.0)
# Delay before a caller retries, and its retries per request.
RETRY_DELAY_S, MAX_RETRIES = 0.3, 4
# How long a suspected request is held, and how often it is checked for a free trial.
MAX_HOLD_S, HOLD_POLL_S = 1.0, 0.05
# Endpoints that a repeatable request is sent to in one attempt of its caller.
ENDPOINTS_PER_ATTEMPT = 2


@dataclass(frozen=True)
class Scenario:
    """Load and crash rates of one simulation.

    Attributes:
      endpoints: Endpoints of the service.
      requests_per_s: Requests per second that are sent once, retries aside.
      pages: Number of requests that are sent repeatedly and succeed.
      page_per_s: How often each of those is sent per second.
      poison: Number of requests that crash every endpoint that runs them.
      poison_interval_s: Seconds between two sends of each poison request.
      crashes_per_s: Endpoints per second that crash without being caused by a request.
      duration_s: Length of the simulation in seconds.
    """

    endpoints: int = 6
    requests_per_s: float = 12.0
    pages: int = 2
    page_per_s: float = 4.0
    poison: int = 1
    poison_interval_s: float = 0.7
    crashes_per_s: float = 0.0
    duration_s: float = 60.0


@dataclass
class Outcome:
    """Result of a simulation.

    Attributes:
      crashes_s: When each poison request crashed an endpoint.
      starts_s: When each poison request was started on an endpoint.
      refused: For each other request, how often it was refused because it was quarantined.
      held: For each other request, how often it was refused after it had waited
        MAX_HOLD_S for a trial.
      served, failed: Number of attempts of other requests that succeeded and that failed.
      refused_for_s: Seconds between the first refusal and the success, for each other request that
        was refused and then served.
    """

    crashes_s: dict[str, list[float]] = field(default_factory=dict)
    starts_s: dict[str, list[float]] = field(default_factory=dict)
    refused: Counter = field(default_factory=Counter)
    held: Counter = field(default_factory=Counter)
    served: int = 0
    failed: int = 0
    refused_for_s: list[float] = field(default_factory=list)

    def late_starts(self, poison: str, propagation_s: float) -> int:
        """Return how often a request was started later than propagation_s after its third crash."""
        crashes_s = sorted(self.crashes_s.get(poison, []))
        if len(crashes_s) < 3:
            return 0
        return sum(at_s > crashes_s[2] + propagation_s for at_s in self.starts_s[poison])


@dataclass
class _Endpoint:
    name: str
    runs: dict[int, "_Attempt"] = field(default_factory=dict)


@dataclass
class _Attempt:
    """One attempt of a caller to get a request served."""

    request: str
    retries: int
    tried: set[str] = field(default_factory=set)
    held_until_s: float = 0.0
    on_trial: bool = False

    @property
    def holder(self) -> str:
        """Return an id by which trials tell attempts of the same request apart."""
        return str(id(self))


class CrashSimulation:
    """Runs one scenario; the same seed gives the same result."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Prepare an empty simulation at second 0."""
        self.scenario = scenario
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
        """Run all events in virtual time and return the result."""
        for _ in range(self.scenario.endpoints):
            self._start_endpoint()
        self._draw_arrivals()
        while self._events:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
        return self.outcome

    def _schedule(self, after_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + after_s, next(self._numbers), callback))

    def _draw_arrivals(self) -> None:
        """Draw when each request is sent and when endpoints crash without a request."""
        scenario = self.scenario
        for number in range(int(scenario.requests_per_s * scenario.duration_s)):
            self._send_at(self._rng.uniform(0, scenario.duration_s), f"once-{number}")
        for page in range(scenario.pages):
            for _ in range(int(scenario.page_per_s * scenario.duration_s)):
                self._send_at(self._rng.uniform(0, scenario.duration_s), f"page-{page}")
        for poison in range(scenario.poison):
            first_s = self._rng.uniform(1, 8)
            for number in range(int((scenario.duration_s - first_s) / scenario.poison_interval_s)):
                self._send_at(
                    first_s + number * scenario.poison_interval_s, f"poison-{poison}", MAX_RETRIES
                )
        for _ in range(int(scenario.crashes_per_s * scenario.duration_s)):
            self._schedule(self._rng.uniform(0, scenario.duration_s), self._crash_any)

    def _send_at(self, at_s: float, request: str, retries: int = 0) -> None:
        self._schedule(at_s, lambda: self._send(_Attempt(request, retries)))

    def _start_endpoint(self) -> None:
        name = f"i-{next(self._numbers)}"
        self._up[name] = _Endpoint(name)

    def _crash_any(self) -> None:
        """Crash a random endpoint without a request as the cause."""
        if self._up:
            self._crash(self._rng.choice(list(self._up.values())))

    def _crash(self, endpoint: _Endpoint) -> None:
        """Crash an endpoint with all its requests, and start a replacement later."""
        if self._up.pop(endpoint.name, None) is None:
            return
        crash = crash_id(endpoint.name, None)
        for attempt in endpoint.runs.values():
            self.records.record_crash(attempt.request, crash, attempt.on_trial)
        for attempt in endpoint.runs.values():
            self._end_trial(attempt)
        for attempt in endpoint.runs.values():
            (
                self._send(attempt)
                if len(attempt.tried) < ENDPOINTS_PER_ATTEMPT
                else self._fail(attempt)
            )
        self._schedule(self._rng.uniform(*RESTART_DELAY_S), self._start_endpoint)

    def _fail(self, attempt: _Attempt) -> None:
        """Count a failed attempt, and let its caller retry up to MAX_RETRIES times."""
        if _is_poison(attempt.request):
            return
        self.outcome.failed += 1
        if attempt.retries < MAX_RETRIES:
            self._schedule(
                RETRY_DELAY_S, lambda: self._send(_Attempt(attempt.request, attempt.retries + 1))
            )

    def _send(self, attempt: _Attempt) -> None:
        """Start a request on an endpoint, hold it for a trial, or refuse it."""
        free = [each for name, each in self._up.items() if name not in attempt.tried]
        if not free:
            self._fail(attempt)
            return
        if self.quarantine.verdict(attempt.request).standing is Standing.FREE:
            self._start(attempt, self._least_loaded(free))
            return
        avoided: set[str] = set()
        while True:
            left = [each for each in free if each.name not in avoided]
            if not left:
                self._hold(attempt)
                return
            endpoint = self._least_loaded(left)
            permission = self._trials.request(
                attempt.request, attempt.holder, endpoint.name, 10.0, len(self._up)
            )
            if permission.answer is not Answer.ANOTHER_ENDPOINT:
                break
            avoided |= set(permission.avoided)
        if permission.answer is Answer.GRANTED:
            attempt.on_trial = True
            self._start(attempt, endpoint)
        elif permission.answer is Answer.WAIT:
            self._hold(attempt)
        else:
            self.outcome.refused[attempt.request] += 1
            self._refused_s.setdefault(attempt.request, self.now_s)
            self._fail(attempt)

    def _least_loaded(self, endpoints: list[_Endpoint]) -> _Endpoint:
        """Return a random one of the endpoints with the fewest requests."""
        return min(endpoints, key=lambda each: (len(each.runs), self._rng.random()))

    def _hold(self, attempt: _Attempt) -> None:
        """Let a request wait for a trial, and refuse it after MAX_HOLD_S."""
        attempt.held_until_s = attempt.held_until_s or self.now_s + MAX_HOLD_S
        if self.now_s >= attempt.held_until_s:
            self.outcome.held[attempt.request] += 1
            self._fail(attempt)
        else:
            self._schedule(HOLD_POLL_S, lambda: self._send(attempt))

    def _start(self, attempt: _Attempt, endpoint: _Endpoint) -> None:
        """Start a request on an endpoint, and schedule its success or the crash that it causes."""
        number = next(self._numbers)
        endpoint.runs[number] = attempt
        attempt.tried.add(endpoint.name)
        if _is_poison(attempt.request):
            self.outcome.starts_s.setdefault(attempt.request, []).append(self.now_s)
            self._schedule(
                self._rng.uniform(*CRASH_DELAY_S),
                lambda: self._crash_under(attempt, endpoint, number),
            )
        else:
            self._schedule(
                self._rng.uniform(*REQUEST_DURATION_S),
                lambda: self._finish(attempt, endpoint, number),
            )

    def _crash_under(self, attempt: _Attempt, endpoint: _Endpoint, number: int) -> None:
        """Crash the endpoint that runs a poison request, unless it has crashed before."""
        if endpoint.name in self._up and number in endpoint.runs:
            self.outcome.crashes_s.setdefault(attempt.request, []).append(self.now_s)
            self._crash(endpoint)

    def _finish(self, attempt: _Attempt, endpoint: _Endpoint, number: int) -> None:
        """Complete a request with success, unless its endpoint has crashed."""
        if endpoint.name not in self._up:
            return
        del endpoint.runs[number]
        self.records.acquit(attempt.request)
        self._end_trial(attempt)
        self.outcome.served += 1
        refused_s = self._refused_s.pop(attempt.request, None)
        if refused_s is not None:
            self.outcome.refused_for_s.append(self.now_s - refused_s)

    def _end_trial(self, attempt: _Attempt) -> None:
        if attempt.on_trial:
            self._trials.finish(attempt.request, attempt.holder)
            attempt.on_trial = False


def _is_poison(request: str) -> bool:
    return request.startswith("poison")
