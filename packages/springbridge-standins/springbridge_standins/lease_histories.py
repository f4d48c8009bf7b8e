"""Random histories of a lease: real lease keepers on a simulated store with faults.

Nodes freeze, are killed and restarted, change their ranking and lose the connection to the store.
The store loses answers, executes calls seconds later, is down, and is restored from older copies.
All along, each node that holds the lease makes duty calls, and each call is checked against the
earlier ones.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success
from springbridge.codes import Code
from springbridge.duties.lease import LeaseReading, LeaseRow
from springbridge.problems import Problem
from springbridge.store_stamp import era_of, stamp
from springbridge_node.gateway.duties.lease_keeper import LeaseKeeper

from springbridge_standins.virtual_loop import run_virtual

# Virtual length of one history.
HISTORY_S = 40.0
# More nodes than there are candidates (3).
NODES = 5
# Length of the lease; also the time within which the lease may not go from A to B and back to A.
LEASE_S = 3.0
# Longest duty call, and the pause between two.
CALL_S, CALL_INTERVAL_S = 0.8, 0.1
# Time after which a node gives up a call to the store.
TIMEOUT_S = 1.2
# Longest time after which the store may still execute a call that got no answer.
MAX_LATE_CALL_S = 4.0


@dataclass(frozen=True)
class DutyCall:
    """A duty call as the platform would receive it."""

    at_s: float
    node_name: str
    token: int


@dataclass
class SimulatedStore:
    """A store with one row, its era, and copies that it may be restored from."""

    rng: random.Random
    era: int = 0
    revision: int = 0
    row: LeaseRow | None = None
    row_revision: int = 0
    down_until_s: float = 0.0
    loss_rate: float = 0.1
    copies: list[tuple[int, LeaseRow | None, int]] = field(default_factory=list)

    def reading(self) -> LeaseReading:
        """Return the current row with its stamp and the time."""
        now_s = asyncio.get_running_loop().time()
        return LeaseReading(stamp(self.era, self.row_revision), self.row, now_s)

    def write(self, row: LeaseRow, expected_stamp: int) -> Result[LeaseReading, Problem]:
        """Write the row if its stamp is still the expected one, else VERSION_CONFLICT."""
        if stamp(self.era, self.row_revision) != expected_stamp:
            return Failure(Problem(Code.VERSION_CONFLICT))
        # Writes of other rows advance the revision too.
        self.revision += self.rng.randint(1, 4)
        self.row, self.row_revision = row, self.revision
        return Success(self.reading())

    def write_late(self, row: LeaseRow, expected_stamp: int) -> None:
        """Execute a write that got no answer.

        The store compares revisions only, so the expected era is replaced by the current one.
        """
        self.write(row, stamp(self.era, expected_stamp - stamp(era_of(expected_stamp), 0)))

    def copy(self) -> None:
        """Take a copy that the store may be restored from."""
        self.copies.append((self.revision, self.row, self.row_revision))

    def go_back(self) -> None:
        """Restore one of the last five copies, if there are any, and begin a new era."""
        if self.copies:
            self.restore(self.rng.choice(self.copies[-5:]))

    def restore(self, copy: tuple[int, LeaseRow | None, int]) -> None:
        """Restore a copy, and begin a new era."""
        self.revision, self.row, self.row_revision = copy
        self.era += 1


class NodeStoreClient:
    """One node's access to the store; answers are delayed while the node is frozen."""

    def __init__(self, store: SimulatedStore, node: "SimulatedNode") -> None:
        """Start without an era seen."""
        self._store = store
        self._node = node
        self._era = 0

    async def read_lease(self, duty: str) -> Result[LeaseReading, Problem]:
        """Return the row; TABLE_UNAVAILABLE if the store does not answer."""
        if not await self._send_request():
            return Failure(Problem(Code.TABLE_UNAVAILABLE))
        return await self._receive_answer(Success(self._store.reading()), self._store.era)

    async def write_lease(
        self, duty: str, row: LeaseRow, before: int
    ) -> Result[LeaseReading, Problem]:
        """Write the row; the answer may be lost and the write executed later."""
        if era_of(before) != self._era:
            return Failure(Problem(Code.VERSION_CONFLICT))
        store, loop = self._store, asyncio.get_running_loop()
        if store.rng.random() < store.loss_rate:
            delay_s = store.rng.choice([0.0, store.rng.random() * MAX_LATE_CALL_S])
            loop.call_later(delay_s, store.write_late, row, before)
            await asyncio.sleep(TIMEOUT_S)
            await self._node.wait_while_frozen()
            return Failure(Problem(Code.TABLE_UNAVAILABLE))
        if not await self._send_request():
            return Failure(Problem(Code.TABLE_UNAVAILABLE))
        era = store.era
        if era_of(before) != era:
            # The condition holds a bare revision, which the new era may have again by chance.
            before = stamp(era, before - stamp(era_of(before), 0))
        return await self._receive_answer(store.write(row, before), era)

    async def _send_request(self) -> bool:
        """Delay a call as the network would, and return whether it reaches the store."""
        store, loop = self._store, asyncio.get_running_loop()
        await asyncio.sleep(0.002 + store.rng.random() * 0.05)
        await self._node.wait_while_frozen()
        if loop.time() < max(store.down_until_s, self._node.cut_until_s):
            await asyncio.sleep(TIMEOUT_S * store.rng.random())
            await self._node.wait_while_frozen()
            return False
        return True

    async def _receive_answer(self, result, era: int) -> Result[LeaseReading, Problem]:
        """Delay an answer as the network would; drop it if a later era has been seen."""
        await asyncio.sleep(0.002 + self._store.rng.random() * 0.05)
        await self._node.wait_while_frozen()
        if era < self._era:
            return Failure(Problem(Code.TABLE_UNAVAILABLE))
        self._era = era
        return result


class SimulatedNode:
    """A node with its lease keeper; a restart begins a new incarnation."""

    def __init__(self, history: "LeaseHistory", number: int) -> None:
        """Start the first incarnation."""
        self.name = f"node-{number}"
        self.ranking = number
        self.cut_until_s = 0.0
        self._history = history
        self._frozen_until_s = 0.0
        self._runs = 0
        self._tasks: list[asyncio.Task] = []
        self.start()

    def start(self) -> None:
        """Start a new incarnation, without any state of earlier ones."""
        self._runs += 1
        incarnation = f"{self.name}.{self._runs}"
        loop = asyncio.get_running_loop()
        self.keeper = LeaseKeeper(
            self.store_client(),
            self,
            self.name,
            incarnation,
            LEASE_S,
            loop.time,
        )
        self._tasks = [
            asyncio.ensure_future(self._keep()),
            asyncio.ensure_future(self._make_calls()),
        ]

    def store_client(self) -> NodeStoreClient:
        """Return a new access to the store."""
        return NodeStoreClient(self._history.store, self)

    def kill(self) -> None:
        """Stop the incarnation without releasing the lease."""
        for task in self._tasks:
            task.cancel()

    def freeze(self, seconds: float) -> None:
        """Pause all work of the node for some seconds."""
        self._frozen_until_s = asyncio.get_running_loop().time() + seconds

    async def wait_while_frozen(self) -> None:
        """Wait until the node is no longer frozen."""
        loop = asyncio.get_running_loop()
        while loop.time() < self._frozen_until_s:
            await asyncio.sleep(self._frozen_until_s - loop.time() + 0.001)

    def rank(self) -> int:
        """Return the node's ranking, 0 for the first."""
        return self.ranking

    def include_me(self) -> bool:
        """Return whether the node is among the three candidates."""
        return self.ranking < 3

    async def _keep(self) -> None:
        while True:
            await asyncio.sleep(LEASE_S / 3 * (0.8 + 0.4 * self._history.rng.random()))
            await self.wait_while_frozen()
            await self.keeper.step()

    async def _make_calls(self) -> None:
        while True:
            await asyncio.sleep(CALL_INTERVAL_S)
            await self.wait_while_frozen()
            with self.keeper.credentials_for_call(CALL_S) as credentials:
                if credentials is not None:
                    self._history.record_call(self.name, credentials.token)
                    await asyncio.sleep(CALL_S * self._history.rng.random())


class LeaseHistory:
    """One random history, and the violations found in it.

    Attributes:
      calls: All duty calls in order.
      violations: A line for each violation.
    """

    def __init__(self, seed: int) -> None:
        """Prepare a history; the same seed gives the same one."""
        self.rng = random.Random(seed)
        self.store = SimulatedStore(self.rng)
        self.calls: list[DutyCall] = []
        self.violations: list[str] = []

    def record_call(self, node_name: str, token: int) -> None:
        """Check a duty call against the earlier ones, and record it."""
        call = DutyCall(asyncio.get_running_loop().time(), node_name, token)
        highest = max(self.calls, key=lambda each: each.token, default=call)
        if token < highest.token:
            self.violations.append(f"a lower token: {call} after {highest}")
        if any(each.token == token and each.node_name != node_name for each in self.calls):
            self.violations.append(f"a token of two holders: {call}")
        recent = [each for each in self.calls if each.at_s > call.at_s - LEASE_S]
        own = [number for number, each in enumerate(recent) if each.node_name == node_name]
        if own and any(each.node_name != node_name for each in recent[own[0] :]):
            self.violations.append(f"a holder returned too early: {call}")
        self.calls.append(call)

    async def play(self) -> None:
        """Run the nodes, with random faults at pauses of up to 3 s, for HISTORY_S."""
        nodes = [SimulatedNode(self, number) for number in range(NODES)]
        faults: list[Callable[[list[SimulatedNode]], None]] = [
            self._freeze,
            self._kill,
            self._cut,
            self._rank,
            self._down,
            self._go_back,
            self._leave,
        ]
        loop = asyncio.get_running_loop()
        copying = asyncio.ensure_future(self._copy())
        while loop.time() < HISTORY_S:
            await asyncio.sleep(self.rng.random() * 3)
            self.rng.choice(faults)(nodes)
        copying.cancel()
        for node in nodes:
            node.kill()

    async def _copy(self) -> None:
        while True:
            self.store.copy()
            await asyncio.sleep(1.0)

    def _freeze(self, nodes: list[SimulatedNode]) -> None:
        self.rng.choice(nodes).freeze(self.rng.random() * 6)

    def _kill(self, nodes: list[SimulatedNode]) -> None:
        node = self.rng.choice(nodes)
        node.kill()
        asyncio.get_running_loop().call_later(self.rng.random(), node.start)

    def _cut(self, nodes: list[SimulatedNode]) -> None:
        now_s = asyncio.get_running_loop().time()
        self.rng.choice(nodes).cut_until_s = now_s + self.rng.random() * 8

    def _rank(self, nodes: list[SimulatedNode]) -> None:
        rankings = list(range(NODES))
        self.rng.shuffle(rankings)
        for node, ranking in zip(nodes, rankings, strict=True):
            node.ranking = ranking

    def _down(self, nodes: list[SimulatedNode]) -> None:
        self.store.down_until_s = asyncio.get_running_loop().time() + self.rng.random() * 5

    def _go_back(self, nodes: list[SimulatedNode]) -> None:
        self.store.go_back()

    def _leave(self, nodes: list[SimulatedNode]) -> None:
        node = self.rng.choice(nodes)
        asyncio.ensure_future(node.keeper.leave())
        loop = asyncio.get_running_loop()
        loop.call_later(2.0, node.kill)
        loop.call_later(2.2, node.start)


def play_history(seed: int) -> LeaseHistory:
    """Run the history of a seed to its end in virtual time."""
    history = LeaseHistory(seed)
    run_virtual(history.play())
    return history
