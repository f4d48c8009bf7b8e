"""Simulates parts of prompts that crash endpoints, on a virtual clock, in histories drawn by seed.

Only the rules of the library are real (`part_quarantine`, `part_trials`, `crash_records`,
`recent_successes`); each node has records of its own, and what it tells its peers takes a drawn
time to arrive. This shows how many endpoints a part costs and which sound requests are refused,
over many more histories than could be run with real processes.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from springbridge.crash_records import CrashRecords, CrashReport, crash_id
from springbridge.part_quarantine import MAX_PART_RECORDS, PartQuarantine
from springbridge.part_trials import PartTrials
from springbridge.prompt_parts import part_key
from springbridge.quarantine import SUSPECT_CRASHES, Standing
from springbridge.recent_successes import RecentSuccesses
from springbridge.routing.records import PromptPart
from springbridge.trials import Answer

from springbridge_standins.part_histories import KNOWN_CRASHES, WARM_S, History, Result

# Time of a message between nodes, and of news that travels with the heartbeats, in seconds.
MESSAGE_S, GOSSIP_S = (0.001, 0.02), (0.1, 1.0)
# Share of messages that are lost; what they say arrives with the heartbeats.
LOSS = 0.1
# Time from the end of an endpoint until a node has confirmed the crash.
CONFIRM_S = (0.005, 0.05)
# Seconds for which a request waits for a trial, and between two checks.
MAX_HOLD_S, HOLD_POLL_S = 1.0, 0.1
# Seconds of events that show that an endpoint survives a part.
PROOF_S = 1.0


@dataclass
class _Request:
    """One request.

    Attributes:
      poison: The poison part that it holds, "" for none.
      kind: Name under which the result of a sound one is counted.
      counts: Whether it came when the result counts.
    """

    number: int
    node: "_Node"
    parts: tuple[PromptPart, ...]
    poison: str
    kind: str
    counts: bool
    keys: tuple[str, ...] = ()
    tried: set[str] = field(default_factory=set)
    held_since_s: float = -1.0
    avoided: set[str] = field(default_factory=set)
    on_trial: frozenset[str] = frozenset()
    trial: str = ""
    began_s: float | None = None


@dataclass
class _Node:
    """A node: its records and what follows from them."""

    name: str
    records: CrashRecords
    requests: CrashRecords
    successes: RecentSuccesses
    quarantine: PartQuarantine
    trials: PartTrials


class PartSimulation:
    """Runs one history; the same seed gives the same result."""

    def __init__(self, history: History, seed: int) -> None:
        """Prepare an empty simulation at second 0."""
        self.history = history
        self.now_s = 0.0
        self.result = Result()
        self._rng = random.Random(f"simulation {seed}")
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._up: dict[str, dict[int, _Request]] = {}
        self.nodes = [self._new_node() for _ in range(history.nodes)]

    def run(self) -> Result:
        """Run all events in virtual time and return the result."""
        for _ in range(self.history.endpoints):
            self._start_endpoint()
        self._draw_arrivals()
        while self._events:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
        return self.result

    def _new_node(self) -> _Node:
        """Return a node without records."""

        def clock() -> float:
            return self.now_s

        records, requests = CrashRecords(clock, MAX_PART_RECORDS), CrashRecords(clock)
        successes = RecentSuccesses(clock)
        quarantine = PartQuarantine(records, requests, successes.last_s)
        name = f"n{next(self._numbers)}"
        return _Node(name, records, requests, successes, quarantine, PartTrials(quarantine))

    def _later(self, after_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + after_s, next(self._numbers), callback))

    def _uniform(self, bounds: tuple[float, float]) -> float:
        return self._rng.uniform(*bounds)

    def _draw_arrivals(self) -> None:
        """Draw when each request is sent, and when endpoints and nodes end."""
        history, rng = self.history, self._rng
        for _ in range(int(history.sound_per_s * history.duration_s)):
            self._later(rng.uniform(0, history.duration_s), self._send_sound)
        for number in range(history.poison):
            first_s = WARM_S + rng.uniform(0, 4)
            sends = int((history.duration_s - first_s) * history.poison_per_s)
            first = f"customer-{rng.randrange(history.customers)}"
            session = f"session-{rng.randrange(history.sessions)}"
            for _ in range(sends):
                at_s = rng.uniform(first_s, history.duration_s)
                self._later(at_s, lambda n=number, f=first, s=session: self._send_poison(n, f, s))
        for rate, callback in (
            (history.crashes_per_s, self._crash_any),
            (history.node_starts_per_s, self._replace_node),
        ):
            for _ in range(int(rate * history.duration_s)):
                self._later(rng.uniform(0, history.duration_s), callback)

    def _replace_node(self) -> None:
        """End a node, and start one in its place that knows what a peer knows of suspects."""
        number = self._rng.randrange(len(self.nodes))
        peers = [node for node in self.nodes if node is not self.nodes[number]]
        started = self.nodes[number] = self._new_node()
        known = self._rng.choice(peers)
        for record in known.records.all():
            if len(record.counted) >= SUSPECT_CRASHES:
                started.records.merge(known.records.report(record.fingerprint))

    def _send_sound(self) -> None:
        """Send a sound request: some of its sessions come with the poison parts too."""
        customer = self._rng.randrange(self.history.customers)
        session = self._rng.randrange(self.history.sessions)
        names = (f"customer-{customer}", f"session-{session}")
        self._send_new(names, "", "sound")

    def _send_poison(self, number: int, first: str, session: str) -> None:
        """Send a request with a poison part beside the parts of a customer and a session."""
        poison = f"poison-{number}"
        self._send_new((first, poison, session), poison, "poison")

    def _send_new(self, names: tuple[str, ...], poison: str, kind: str) -> None:
        """Send a request with these parts, and one of its own, to any node."""
        number = next(self._numbers)
        parts = tuple(PromptPart(name, 100) for name in (*names, f"own-{number}"))
        node = self._rng.choice(self.nodes)
        keys = tuple(map(part_key, names))
        counts = not poison and self._is_known()
        request = _Request(number, node, parts, poison, kind, counts, keys)
        if counts:
            self.result.sound[kind] += 1
        self._send(request)

    def _is_known(self) -> bool:
        """Return whether a second has passed since the last part had its fifth crash, or none."""
        crashes = [sorted(each)[:KNOWN_CRASHES][-1] for each in self.result.crashes_s.values()]
        return bool(crashes) and self.now_s > max(crashes) + 1.0

    def _start_endpoint(self) -> None:
        self._up[f"i-{next(self._numbers)}"] = {}

    def _crash_any(self) -> None:
        """Crash a random endpoint without a request as the cause."""
        if self._up:
            self._crash(self._rng.choice(list(self._up)))

    def _send(self, request: _Request) -> None:
        """Start a request on an endpoint, hold it for a trial, or refuse it."""
        node = request.node
        if node not in self.nodes:
            return
        free = [name for name in self._up if name not in request.tried]
        if not free:
            return
        found = node.quarantine.verdict(request.keys)
        if found.standing is Standing.FREE:
            self._start(request, self._least_loaded(free))
            return
        if found.due_s > self.now_s:
            self._refuse(request)
            return
        left = [name for name in free if name not in request.avoided]
        if not left:
            self._hold(request)
            return
        endpoint = self._least_loaded(left)
        coordinator = self.nodes[0]
        self._exchange(node, coordinator, request.keys)
        holder = f"{request.number}/{len(request.tried)}"
        permission = coordinator.trials.request(request.keys, holder, endpoint, 10.0, len(self._up))
        self._exchange(coordinator, node, request.keys)
        match permission.answer:
            case Answer.GRANTED:
                request.on_trial = node.quarantine.verdict(request.keys).suspects
                request.trial = holder
                self._later(self._uniform(MESSAGE_S), lambda: self._start(request, endpoint))
            case Answer.QUARANTINED:
                self._refuse(request)
            case Answer.ANOTHER_ENDPOINT:
                request.avoided |= set(permission.avoided)
                self._send(request)
            case Answer.WAIT:
                self._hold(request)

    def _least_loaded(self, names: list[str]) -> str:
        """Return a random one of the endpoints with the fewest requests."""
        return min(names, key=lambda name: (len(self._up[name]), self._rng.random()))

    def _refuse(self, request: _Request) -> None:
        """Count a sound request that is refused as the cause, and not after an endpoint crashed."""
        self.result.refused += not request.poison and not request.tried

    def _hold(self, request: _Request) -> None:
        """Let a request wait for a trial, and refuse it after MAX_HOLD_S."""
        if request.held_since_s < 0:
            request.held_since_s = self.now_s
        if self.now_s > request.held_since_s + MAX_HOLD_S:
            self.result.held += not request.poison
            return
        request.avoided.clear()
        self._later(HOLD_POLL_S, lambda: self._send(request))

    def _start(self, request: _Request, endpoint: str) -> None:
        """Start a request on an endpoint."""
        if endpoint not in self._up:
            self._end_trial(request)
            self._send(request)
            return
        request.tried.add(endpoint)
        request.began_s = None
        self._up[endpoint][request.number] = request
        queue_s = 0.02 + 0.02 * len(self._up[endpoint]) + self._rng.expovariate(10.0)
        if request.poison:
            self.result.arrivals_s.setdefault(request.poison, []).append(self.now_s)
            self._later(queue_s + 0.05, lambda: self._crash_under(request, endpoint))
        else:
            self._later(queue_s, lambda: self._begin(request, endpoint))

    def _is_running(self, request: _Request, endpoint: str) -> bool:
        return self._up.get(endpoint, {}).get(request.number) is request

    def _begin(self, request: _Request, endpoint: str) -> None:
        """Let an endpoint write the first event of an answer."""
        if not self._is_running(request, endpoint):
            return
        request.began_s = self.now_s if self.history.shows_events else None
        self._later(self._uniform(self.history.runs_s), lambda: self._finish(request, endpoint))
        if request.trial and self.history.shows_events:
            self._later(PROOF_S, lambda: self._prove(request, endpoint))

    def _prove(self, request: _Request, endpoint: str) -> None:
        """Count what a trial has shown though its answer goes on."""
        if self._is_running(request, endpoint):
            self._record_success(request)

    def _crash_under(self, request: _Request, endpoint: str) -> None:
        """Crash the endpoint of a poison request, unless it has crashed before."""
        if self._is_running(request, endpoint):
            self.result.crashes_s.setdefault(request.poison, []).append(self.now_s)
            self._crash(endpoint)

    def _crash(self, endpoint: str) -> None:
        """Crash an endpoint with all its requests, and start a replacement later."""
        requests = self._up.pop(endpoint)
        crash = crash_id(endpoint, None)
        for request in requests.values():
            has_proved = request.began_s is not None and self.now_s > request.began_s + PROOF_S
            self._later(
                self._uniform(CONFIRM_S), lambda r=request, p=has_proved: self._lost(r, crash, p)
            )
        self._later(self._uniform(self.history.restart_s), self._start_endpoint)

    def _lost(self, request: _Request, crash: int, has_proved: bool) -> None:
        """Record a crash for one of its requests, and send that to another endpoint."""
        node = request.node
        if node not in self.nodes:
            return
        node.requests.record_crash(f"request-{request.number}", crash)
        if has_proved:
            self._record_success(request)
        else:
            self._record_crash(request, crash)
        self._end_trial(request)
        if len(request.tried) < self.history.attempts:
            self._send(request)

    def _record_crash(self, request: _Request, crash: int) -> None:
        """Record a crash against the parts of a request, and tell peers."""
        node = request.node
        for key in request.keys:
            if node.quarantine.is_credited(key):
                continue
            if node.records.record_crash(key, crash, key in request.on_trial):
                self._tell(node, key)

    def _finish(self, request: _Request, endpoint: str) -> None:
        """Complete a request with success, unless its endpoint has crashed."""
        if not self._is_running(request, endpoint):
            return
        del self._up[endpoint][request.number]
        if request.node in self.nodes:
            self._record_success(request)
        self._end_trial(request)
        if request.counts and len(request.tried) == 1:
            self.result.served[request.kind] += 1

    def _record_success(self, request: _Request) -> None:
        """Clear the parts of a request, and tell peers."""
        node = request.node
        node.successes.record(request.parts)
        for key in request.keys:
            record = node.records.find(key)
            if record is not None and record.counted:
                node.records.acquit(key)
                self._tell(node, key, is_success=True)

    def _end_trial(self, request: _Request) -> None:
        """End the trial of a request, if it is one."""
        if request.trial:
            self._exchange(request.node, self.nodes[0], request.keys)
            self.nodes[0].trials.finish(request.trial)
            request.trial, request.on_trial = "", frozenset()

    def _exchange(self, source: _Node, target: _Node, keys: tuple[str, ...]) -> None:
        """Merge what one node knows of parts at another, as trial requests and replies do."""
        for key in keys:
            report = source.records.report(key)
            if report is not None and source is not target:
                self._merge(target, report)

    def _tell(self, node: _Node, key: str, is_success: bool = False) -> None:
        """Send a record to the coordinators, and to all nodes if it is one of a suspect."""
        report = node.records.report(key)
        is_suspect = len(node.records.find(key).counted) >= SUSPECT_CRASHES or is_success
        for peer in self.nodes if is_suspect else self.nodes[:2]:
            if peer is node:
                continue
            is_direct = not is_success and self._rng.random() >= LOSS
            delay_s = self._uniform(MESSAGE_S if is_direct else GOSSIP_S)
            self._later(delay_s, lambda p=peer, d=delay_s: self._receive(p, report, d))

    def _receive(self, node: _Node, report: CrashReport, age_s: float) -> None:
        """Merge a report that has travelled for some time, and pass on a new suspect."""
        before = node.records.find(report.fingerprint)
        was_suspect = before is not None and len(before.counted) >= SUSPECT_CRASHES
        self._merge(node, _aged(report, age_s))
        after = node.records.find(report.fingerprint)
        is_first = len(report.crashes) < SUSPECT_CRASHES <= len(after.counted)
        if is_first and not was_suspect and node in self.nodes:
            self._tell(node, report.fingerprint)

    def _merge(self, node: _Node, report: CrashReport) -> None:
        """Merge a report, and add the node's own last success to it."""
        node.records.merge(report)
        answered_s = node.successes.last_s(report.fingerprint)
        if answered_s > node.records.find(report.fingerprint).acquitted_s:
            own = CrashReport(report.fingerprint, acquitted_ago_s=self.now_s - answered_s)
            node.records.merge(own)


def _aged(report: CrashReport, age_s: float) -> CrashReport:
    """Return a report with its ages as they are some time later."""
    crashes = tuple(
        type(crash)(crash.crash_id, crash.age_s + age_s, crash.on_trial) for crash in report.crashes
    )
    ago_s = report.acquitted_ago_s
    return CrashReport(report.fingerprint, crashes, None if ago_s is None else ago_s + age_s)
