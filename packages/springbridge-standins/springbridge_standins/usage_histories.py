"""Drawn histories of usage reports: real keepers, sharings and reporters on a store that fails.

Instances count requests, tell each other in datagrams that may be lost, and report each window
while they hold the lease. They freeze, are killed, cut off and replaced, change places in the
ranking, and their clocks jump; the store is down and comes back from older copies, also several
times in a row. What the platform gets is checked: a window has one report, and counts that were
reported are those that were decided.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

import orjson
from returns.result import Failure, Result, Success
from springbridge.codes import Code
from springbridge.duties.usage import Counts, window_at
from springbridge.duties.usage_reports import Report
from springbridge.problems import Problem
from springbridge_node.gateway.duties.duty_platform import Credentials
from springbridge_node.gateway.duties.usage_reporter import UsageReporter
from springbridge_node.gateway.duties.usage_sharing import SEND_INTERVAL_S, UsageSharing
from springbridge_node.gateway.peers.datagrams import Handler, Kind

from springbridge_standins.lease_histories import NODES, LeaseHistory, SimulatedNode
from springbridge_standins.virtual_loop import run_virtual

# Seconds of one history, and of one window.
HISTORY_S, WINDOW_S = 60.0, 5.0
# Seconds since the start of 1970 at the start of a history, the start of a window.
START_S = 1_000_000.0
# Seconds between two requests that an instance counts, and between two looks for reports to send.
REQUEST_INTERVAL_S, REPORT_STEP_S = 0.2, 0.5
# Seconds after the end of a window after which a report counts as missed.
REPORT_DUE_S = 15.0
# Places in the ranking that may record the lease.
CANDIDATES = 3
# Seconds on the way of a datagram.
DATAGRAM_DELAY_S = 0.002
# Largest jump of a clock, in seconds.
CLOCK_JUMP_S = 3.0


@dataclass(frozen=True)
class Faults:
    """What befalls a history.

    Attributes:
      kinds: Names of the faults, each a method of UsageHistory.
      max_pause_s: Longest pause between two.
      loss_rate: Part of the datagrams that are lost.
    """

    kinds: tuple[str, ...] = (
        "freeze",
        "kill",
        "kill_all",
        "cut",
        "rank",
        "down",
        "go_back",
        "leave",
        "jump",
    )
    max_pause_s: float = 3.0
    loss_rate: float = 0.1


@dataclass
class PlatformReports:
    """The platform: what it was reported about each window, and what it was reported conflicts.

    Attributes:
      reports: Counts by window, as they were first reported.
      conflicts: Windows with two counts, a line each.
    """

    reports: dict[int, Counts] = field(default_factory=dict)
    conflicts: list[str] = field(default_factory=list)

    def record(self, instance: str, report: Report) -> None:
        """Take a report."""
        first = self.reports.setdefault(report.window, dict(report.counts))
        if first != report.counts:
            self.conflicts.append(
                f"window {report.window}: {first}, then {report.counts} {instance}"
            )


class ReportingNode(SimulatedNode):
    """A machine with the run of an instance that counts and reports."""

    def __init__(self, history: "UsageHistory", number: int) -> None:
        """Start the first run."""
        self.clock_ahead_s = 0.0
        self.handlers: dict[Kind, Handler] = {}
        super().__init__(history, number)

    def start(self) -> None:
        """Start a run, which knows nothing of those before."""
        super().start()
        loop, history = asyncio.get_running_loop(), self._history
        self.incarnation = f"{self.name}.{self._runs}"
        self.sharing = UsageSharing(self, self.incarnation, WINDOW_S, loop.time, self._wall_s)
        self.sharing.connect(SimulatedDatagrams(history, self))
        self.reporter = UsageReporter(
            self.keeper, self.sharing, SimulatedPlatform(history, self), self, WINDOW_S
        )
        self.keeper.connect(
            self.reporter.continue_from, self.reporter.decide_content, self.reporter.on_renewed
        )
        self._tasks += [
            asyncio.ensure_future(work) for work in (self._count(), self._share(), self._report())
        ]

    def others(self) -> list[SimpleNamespace]:
        """Return the candidates without this node."""
        return [
            SimpleNamespace(incarnation=node.incarnation, peer_address=node.name)
            for node in self._history.nodes
            if node is not self and node.ranking < CANDIDATES
        ]

    def _wall_s(self) -> float:
        """Return the time of day as the machine has it."""
        return START_S + asyncio.get_running_loop().time() + self.clock_ahead_s

    async def _count(self) -> None:
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_S * (0.5 + self._history.rng.random()))
            await self.wait_while_frozen()
            self.sharing.count_request("councils")

    async def _share(self) -> None:
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            await self.wait_while_frozen()
            await self.sharing.step()

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_STEP_S)
            await self.wait_while_frozen()
            await self.reporter.step()


class SimulatedDatagrams:
    """The datagrams of one node."""

    def __init__(self, history: "UsageHistory", node: ReportingNode) -> None:
        """Start with no handlers, as a run that has just begun."""
        self._history = history
        self._node = node
        node.handlers = {}

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Set who takes the rows of a kind."""
        self._node.handlers[kind] = handler

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows, each of which may be lost."""
        raw = orjson.dumps(rows)
        for node in self._history.nodes:
            if node.name in peer_addresses and self._history.datagram_arrives():
                handlers = node.handlers
                asyncio.get_running_loop().call_later(
                    DATAGRAM_DELAY_S, _deliver, handlers, kind, raw
                )

    def sample_peers(self, limit: int) -> list[str]:
        """Return some other nodes."""
        others = [node.name for node in self._history.nodes if node is not self._node]
        return others[:limit]


class SimulatedPlatform:
    """The platform as one node reaches it; calls or their answers may be lost."""

    def __init__(self, history: "UsageHistory", node: ReportingNode) -> None:
        """Keep both."""
        self._history = history
        self._node = node

    async def report_usage(self, credentials: Credentials, report: Report) -> Result[None, Problem]:
        """Take a report, unless the call is lost."""
        rng = self._history.rng
        await asyncio.sleep(rng.random() * 0.1)
        await self._node.wait_while_frozen()
        if rng.random() < self._history.faults.loss_rate:
            return Failure(Problem(Code.TABLE_UNAVAILABLE))
        self._history.received.record(self._node.incarnation, report)
        if rng.random() < self._history.faults.loss_rate:
            return Failure(Problem(Code.TABLE_UNAVAILABLE))
        return Success(None)


class UsageHistory(LeaseHistory):
    """One drawn history of reports.

    Attributes:
      reported: What the platform got.
      restores_s: Moments at which the store went back, in virtual seconds.
    """

    def __init__(self, seed: int, faults: Faults) -> None:
        """Draw from a seed."""
        super().__init__(seed)
        self.faults = faults
        self.received = PlatformReports()
        self.restores_s: list[float] = []
        self.nodes: list[ReportingNode] = []

    def datagram_arrives(self) -> bool:
        """Return whether a datagram datagram_arrives."""
        return self.rng.random() >= self.faults.loss_rate

    def missed_windows(self) -> int:
        """Return how many windows that were over for REPORT_DUE_S got no report."""
        first = window_at(START_S, WINDOW_S)
        due = window_at(START_S + HISTORY_S - REPORT_DUE_S, WINDOW_S)
        return sum(window not in self.received.reports for window in range(first, due))

    async def play(self) -> None:
        """Play the history."""
        for number in range(NODES):
            self.nodes.append(ReportingNode(self, number))
        loop = asyncio.get_running_loop()
        copying = asyncio.ensure_future(self._copy())
        while loop.time() < HISTORY_S:
            await asyncio.sleep(self.rng.random() * self.faults.max_pause_s)
            self._inject_fault(self.rng.choice(self.faults.kinds))
        copying.cancel()
        for node in self.nodes:
            node.kill()

    def _inject_fault(self, kind: str) -> None:
        inject: Callable[[list[ReportingNode]], None] = getattr(self, f"_{kind}")
        inject(self.nodes)

    def _go_back(self, nodes: list[ReportingNode]) -> None:
        super()._go_back(nodes)
        self.restores_s.append(asyncio.get_running_loop().time())

    def _kill_all(self, nodes: list[ReportingNode]) -> None:
        for node in nodes:
            node.kill()
            asyncio.get_running_loop().call_later(self.rng.random(), node.start)

    def _jump(self, nodes: list[ReportingNode]) -> None:
        self.rng.choice(nodes).clock_ahead_s = self.rng.uniform(-1, 1) * CLOCK_JUMP_S


def play_reports(seed: int, faults: Faults = Faults()) -> UsageHistory:
    """Play the history of a seed to its end."""
    history = UsageHistory(seed, faults)
    run_virtual(history.play())
    return history


def _deliver(handlers: dict[Kind, Handler], kind: Kind, raw: bytes) -> None:
    """Give rows to the run that they were sent to, as they were sent."""
    handlers[kind](orjson.loads(raw), "")
