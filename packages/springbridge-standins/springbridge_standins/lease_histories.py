"""Drawn histories of a lease: real keepers on a store that fails in every way that one may.

Nodes freeze, are killed and start again, change rankings in the ranking and are cut off. The store
loses answers, does calls seconds later, is down, and comes back from an older copy. All the while
whoever may call does so, and each call is checked against those before it.
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

# Seconds of one history.
HISTORY_S = 40.0
# Nodes; more than there are candidates.
NODES = 5
# Length of the lease, and the time within which holders A, B, A are too many, in seconds.
LEASE_S = 3.0
# Seconds that a duty call may take, and between two calls.
CALL_S, CALL_INTERVAL_S = 0.8, 0.1
# Seconds for which a node waits for the store.
TIMEOUT_S = 1.2
# Longest time after which a call without an answer may still be done.
MAX_LATE_CALL_S = 4.0


@dataclass(frozen=True)
class DutyCall:
    """A duty call as the platform would see it."""

    at_s: float
    node_name: str
    token: int


@dataclass
class SimulatedStore:
    """One row, its era, and the copies that the store may come back from."""

    rng: random.Random
    era: int = 0
    revision: int = 0
    row: LeaseRow | None = None
    row_revision: int = 0
    down_until_s: float = 0.0
    loss_rate: float = 0.1
    copies: list[tuple[int, LeaseRow | None, int]] = field(default_factory=list)

    def reading(self) -> LeaseReading:
        """Return the row as it is."""
        now_s = asyncio.get_running_loop().time()
        return LeaseReading(stamp(self.era, self.row_revision), self.row, now_s)

    def write(self, row: LeaseRow, expected_stamp: int) -> Result[LeaseReading, Problem]:
        """Write the row if its stamp is still the one of before."""
        if stamp(self.era, self.row_revision) != expected_stamp:
            return Failure(Problem(Code.VERSION_CONFLICT))
        # Other rows are written as well.
        self.revision += self.rng.randint(1, 4)
        self.row, self.row_revision = row, self.revision
        return Success(self.reading())

    def write_late(self, row: LeaseRow, expected_stamp: int) -> None:
        """Do a call that got no answer; the store itself knows nothing of eras in conditions."""
        self.write(row, stamp(self.era, expected_stamp - stamp(era_of(expected_stamp), 0)))

    def copy(self) -> None:
        """Take a copy."""
        self.copies.append((self.revision, self.row, self.row_revision))

    def go_back(self) -> None:
        """Come back from a copy of the last seconds."""
        if self.copies:
            self.revision, self.row, self.row_revision = self.rng.choice(self.copies[-5:])
            self.era += 1


class NodeStoreClient:
    """The store as one node reaches it; its answers wait while the node is frozen."""

    def __init__(self, store: SimulatedStore, node: "SimulatedNode") -> None:
        """Keep both."""
        self._store = store
        self._node = node
        self._era = 0

    async def read_lease(self, duty: str) -> Result[LeaseReading, Problem]:
        """Return the row."""
        if not await self._send_request():
            return Failure(Problem(Code.TABLE_UNAVAILABLE))
        return await self._receive_answer(Success(self._store.reading()), self._store.era)

    async def write_lease(
        self, duty: str, row: LeaseRow, before: int
    ) -> Result[LeaseReading, Problem]:
        """Write the row; the answer may be lost, and the call done later."""
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
            # The condition holds a bare revision, which may be there again by chance.
            before = stamp(era, before - stamp(era_of(before), 0))
        return await self._receive_answer(store.write(row, before), era)

    async def _send_request(self) -> bool:
        """Take the way to the store, and return whether it answers."""
        store, loop = self._store, asyncio.get_running_loop()
        await asyncio.sleep(0.002 + store.rng.random() * 0.05)
        await self._node.wait_while_frozen()
        if loop.time() < max(store.down_until_s, self._node.cut_until_s):
            await asyncio.sleep(TIMEOUT_S * store.rng.random())
            await self._node.wait_while_frozen()
            return False
        return True

    async def _receive_answer(self, result, era: int) -> Result[LeaseReading, Problem]:
        """Take the way back; an answer of an earlier era than one seen is none."""
        await asyncio.sleep(0.002 + self._store.rng.random() * 0.05)
        await self._node.wait_while_frozen()
        if era < self._era:
            return Failure(Problem(Code.TABLE_UNAVAILABLE))
        self._era = era
        return result


class SimulatedNode:
    """A node_name, and the run of the keeper on it."""

    def __init__(self, history: "LeaseHistory", number: int) -> None:
        """Start the first run."""
        self.name = f"node-{number}"
        self.ranking = number
        self.cut_until_s = 0.0
        self._history = history
        self._frozen_until_s = 0.0
        self._runs = 0
        self._tasks: list[asyncio.Task] = []
        self.start()

    def start(self) -> None:
        """Start a run, which knows nothing of those before."""
        self._runs += 1
        incarnation = f"{self.name}.{self._runs}"
        loop = asyncio.get_running_loop()
        self.keeper = LeaseKeeper(
            NodeStoreClient(self._history.store, self),
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

    def kill(self) -> None:
        """End the run without a word."""
        for task in self._tasks:
            task.cancel()

    def freeze(self, seconds: float) -> None:
        """Stand still."""
        self._frozen_until_s = asyncio.get_running_loop().time() + seconds

    async def wait_while_frozen(self) -> None:
        """Wait until the node runs."""
        loop = asyncio.get_running_loop()
        while loop.time() < self._frozen_until_s:
            await asyncio.sleep(self._frozen_until_s - loop.time() + 0.001)

    def rank(self) -> int:
        """Return the node's place in the ranking."""
        return self.ranking

    def include_me(self) -> bool:
        """Return whether the node is among the candidates."""
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
    """One drawn history, and what broke the rules in it.

    Attributes:
      calls: All duty calls in their order.
      violations: What was wrong, a line each.
    """

    def __init__(self, seed: int) -> None:
        """Draw from a seed."""
        self.rng = random.Random(seed)
        self.store = SimulatedStore(self.rng)
        self.calls: list[DutyCall] = []
        self.violations: list[str] = []

    def record_call(self, node_name: str, token: int) -> None:
        """Check a duty call against those before it."""
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
        """Play the history."""
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
    """Play the history of a seed to its end."""
    history = LeaseHistory(seed)
    run_virtual(history.play())
    return history
