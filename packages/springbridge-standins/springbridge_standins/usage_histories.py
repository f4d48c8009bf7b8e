"""Random histories of usage reports: real duty code of the nodes on a simulated store with faults.

Instances count requests, share the counts in datagrams that may be lost, and report each window
while they hold the lease. They freeze, are killed, disconnected and replaced, change their ranking,
and their clocks jump; the store is down and is restored from older copies, also several times in a
row. The reports that the platform receives are checked: a window has one report, and the counts
reported are those that were decided.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

import orjson
from returns.result import Failure, Result, Success
from springbridge.codes import Code
from springbridge.duties.lease import LeaseReading, LeaseRow
from springbridge.duties.usage import Counts, window_at
from springbridge.duties.usage_reports import Report
from springbridge.problems import Problem
from springbridge_node.gateway.duties.duty_platform import Credentials
from springbridge_node.gateway.duties.lease_content import from_bytes
from springbridge_node.gateway.duties.usage_reporter import UsageReporter
from springbridge_node.gateway.duties.usage_sharing import SEND_INTERVAL_S, UsageSharing
from springbridge_node.gateway.peers.datagrams import Handler, Kind

from springbridge_standins.lease_histories import (
    NODES,
    TIMEOUT_S,
    LeaseHistory,
    NodeStoreClient,
    SimulatedNode,
)
from springbridge_standins.virtual_loop import run_virtual

# Virtual length of one history, and of one window.
HISTORY_S, WINDOW_S = 60.0, 5.0
# Unix time at the start of a history; a window begins there.
START_S = 1_000_000.0
# Mean time between two requests that an instance counts, and time between two reporter steps.
REQUEST_INTERVAL_S, REPORT_STEP_S = 0.2, 0.5
# Time after the end of a window from which a missing report counts as missed.
REPORT_DUE_S = 15.0
# Nodes whose ranking lets them acquire the lease.
CANDIDATES = 3
# Delay of a datagram.
DATAGRAM_DELAY_S = 0.002
# Longest time from a write that is given up to the restore of the store. Beyond the lease, so that
# another holder may have decided meanwhile.
MAX_RESTORE_DELAY_S = 6.0
# Largest jump of a clock, in either direction.
CLOCK_JUMP_S = 3.0


@dataclass(frozen=True)
class Faults:
    """Faults that are injected into a history.

    Attributes:
      kinds: Names of the faults; "kill" selects the method _kill of UsageHistory.
      max_pause_s: Longest pause between two faults, in seconds.
      loss_rate: Share of the datagrams that are lost, and of the reports and of their answers.
      give_up_rate: Share of the writes with decisions that get no answer, and take effect around a
        restore of the store from a copy of before.
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
    give_up_rate: float = 0.0


@dataclass
class PlatformReports:
    """Reports that the platform received, and conflicts between them.

    Attributes:
      reports: Counts by window, as first reported.
      conflicts: A line for each later report of a window with different counts.
    """

    reports: dict[int, Counts] = field(default_factory=dict)
    conflicts: list[str] = field(default_factory=list)

    def record(self, instance: str, report: Report) -> None:
        """Record a report of an instance."""
        first = self.reports.setdefault(report.window, dict(report.counts))
        if first != report.counts:
            self.conflicts.append(
                f"window {report.window}: {first}, then {report.counts} {instance}"
            )


class ReportingNode(SimulatedNode):
    """A node that counts requests, shares the counts and reports them."""

    def __init__(self, history: "UsageHistory", number: int) -> None:
        """Start the first incarnation, with a correct clock."""
        self.clock_ahead_s = 0.0
        self.handlers: dict[Kind, Handler] = {}
        super().__init__(history, number)

    def start(self) -> None:
        """Start a new incarnation, without any state of earlier ones."""
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

    def store_client(self) -> NodeStoreClient:
        """Return a new access to the store, in which writes with decisions may be given up."""
        return ReportingStoreClient(self._history, self)

    def others(self) -> list[SimpleNamespace]:
        """Return the candidates without this node."""
        return [
            SimpleNamespace(incarnation=node.incarnation, peer_address=node.name)
            for node in self._history.nodes
            if node is not self and node.ranking < CANDIDATES
        ]

    def _wall_s(self) -> float:
        """Return the Unix time by the node's clock."""
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


class ReportingStoreClient(NodeStoreClient):
    """One node's access to the store, in which writes with decisions may be given up."""

    def __init__(self, history: "UsageHistory", node: ReportingNode) -> None:
        """Connect a node to the store of a history."""
        super().__init__(history.store, node)
        self._history = history

    async def write_lease(
        self, duty: str, row: LeaseRow, before: int
    ) -> Result[LeaseReading, Problem]:
        """Write the row, or give the write up and cut the node off for a while."""
        if not self._history.is_given_up(row):
            return await super().write_lease(duty, row, before)
        rng, loop = self._history.rng, asyncio.get_running_loop()
        restore_s = rng.random() * MAX_RESTORE_DELAY_S
        landing_s = restore_s + rng.uniform(-0.5, 1.5)
        loop.call_later(restore_s, self._history.restore_copy_of_now())
        loop.call_later(landing_s, self._store.write_late, row, before)
        self._node.cut_until_s = loop.time() + rng.random() * 2 * MAX_RESTORE_DELAY_S
        await asyncio.sleep(TIMEOUT_S)
        await self._node.wait_while_frozen()
        return Failure(Problem(Code.TABLE_UNAVAILABLE))


class SimulatedDatagrams:
    """The datagram socket of one node."""

    def __init__(self, history: "UsageHistory", node: ReportingNode) -> None:
        """Open a socket without handlers, as for a new incarnation."""
        self._history = history
        self._node = node
        node.handlers = {}

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Set the handler for datagrams of a kind."""
        self._node.handlers[kind] = handler

    def send(self, kind: Kind, rows: list, peer_addresses: list[str]) -> None:
        """Send rows to each address; the datagram to each may be lost."""
        raw = orjson.dumps(rows)
        for node in self._history.nodes:
            if node.name in peer_addresses and self._history.datagram_arrives():
                handlers = node.handlers
                asyncio.get_running_loop().call_later(
                    DATAGRAM_DELAY_S, _deliver, handlers, kind, raw
                )

    def sample_peers(self, limit: int) -> list[str]:
        """Return the names of up to limit other nodes."""
        others = [node.name for node in self._history.nodes if node is not self._node]
        return others[:limit]


class SimulatedPlatform:
    """One node's access to the platform; calls and their answers may be lost."""

    def __init__(self, history: "UsageHistory", node: ReportingNode) -> None:
        """Connect a node to the platform of a history."""
        self._history = history
        self._node = node

    async def report_usage(self, credentials: Credentials, report: Report) -> Result[None, Problem]:
        """Record a report unless the call is lost; TABLE_UNAVAILABLE if it or its answer is."""
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
    """One random history of usage reports.

    Attributes:
      received: The reports that the platform received.
      restores_s: When the store was restored from a copy, in virtual seconds.
    """

    def __init__(self, seed: int, faults: Faults) -> None:
        """Prepare a history; the same seed and faults give the same one."""
        super().__init__(seed)
        self.faults = faults
        self.received = PlatformReports()
        self.restores_s: list[float] = []
        self.nodes: list[ReportingNode] = []

    def datagram_arrives(self) -> bool:
        """Draw whether a datagram arrives."""
        return self.rng.random() >= self.faults.loss_rate

    def is_given_up(self, row: LeaseRow) -> bool:
        """Draw whether a write is given up; only one with decisions is."""
        rate = self.faults.give_up_rate
        if not rate or not row.content or not from_bytes(row.content, row.era).reports:
            return False
        return self.rng.random() < rate

    def restore_copy_of_now(self) -> Callable[[], None]:
        """Take a copy, and return a function that restores the store from it."""
        self.store.copy()
        copy = self.store.copies[-1]

        def restore() -> None:
            self.store.restore(copy)
            self.restores_s.append(asyncio.get_running_loop().time())

        return restore

    def missed_windows(self) -> int:
        """Return how many windows that ended REPORT_DUE_S or more ago got no report."""
        first = window_at(START_S, WINDOW_S)
        due = window_at(START_S + HISTORY_S - REPORT_DUE_S, WINDOW_S)
        return sum(window not in self.received.reports for window in range(first, due))

    async def play(self) -> None:
        """Run the nodes and inject faults for HISTORY_S."""
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
    """Run the history of a seed to its end in virtual time."""
    history = UsageHistory(seed, faults)
    run_virtual(history.play())
    return history


def _deliver(handlers: dict[Kind, Handler], kind: Kind, raw: bytes) -> None:
    """Pass rows to the handler of the incarnation that they were sent to, decoded anew."""
    handlers[kind](orjson.loads(raw), "")
