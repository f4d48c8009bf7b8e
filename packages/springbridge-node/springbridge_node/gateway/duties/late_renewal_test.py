"""A renewal takes effect late, after the store was restored from a copy."""

import asyncio

import pytest
from returns.result import Failure, Result
from springbridge.codes import Code
from springbridge.duties.lease import LeaseReading, LeaseRow
from springbridge.duties.usage import window_at
from springbridge.problems import Problem
from springbridge.store_stamp import era_of, stamp
from springbridge_standins.lease_histories import TIMEOUT_S
from springbridge_standins.usage_histories import (
    START_S,
    WINDOW_S,
    Faults,
    ReportingNode,
    UsageHistory,
)
from springbridge_standins.virtual_loop import run_virtual
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from springbridge_node.gateway.duties.lease_content import from_bytes

FIRST_WINDOW = window_at(START_S, WINDOW_S)
# Longer than any history: the first holder does not reach the store again.
CUT_S = 100.0
# Long enough for the next holder's take-over and several windows.
REST_S = 25.0


class LateRenewal(UsageHistory):
    """A history whose first holder gives up the renewal with its first decision.

    The next holder decides and reports the window, with counts that the first one did not have.
    Then the store is restored from a copy of before, and executes the renewal.

    Attributes:
      landed: Whether the store executed the renewal.
    """

    def __init__(self, *, loses_told: bool) -> None:
        """Prepare the history.

        Args:
          loses_told: Whether the candidates that were told of the report are restarted.
        """
        super().__init__(1, Faults(loss_rate=0.0))
        self.store.loss_rate = 0.0
        self.landed = False
        self._loses_told = loses_told
        self._given_up: tuple[LeaseRow, int] | None = None

    async def play(self) -> None:
        """Run the nodes, with the fixed faults."""
        self.nodes += [ReportingNode(self, number) for number in range(5)]
        _withhold_counts(self.nodes[4], self.nodes[0].name)
        self._give_up_decision(self.nodes[0])
        while self._given_up is None:
            await asyncio.sleep(0.05)
        self.store.copy()
        while not self.received.reports:
            await asyncio.sleep(0.05)
        self.store.go_back()
        if self._loses_told:
            for node in self.nodes[1:3]:
                node.kill()
                node.start()
        self.store.write_late(*self._given_up)
        self.landed = self.store.row is self._given_up[0]
        await asyncio.sleep(REST_S)
        for node in self.nodes:
            node.kill()

    def _give_up_decision(self, node: ReportingNode) -> None:
        """Let a node's first write with a decision get no answer, and cut the node off."""
        client, loop = node.keeper._store, asyncio.get_running_loop()
        real = client.write_lease

        async def write(duty: str, row: LeaseRow, before: int) -> Result[LeaseReading, Problem]:
            if self._given_up is None and row.content and from_bytes(row.content, 0).reports:
                self._given_up = (row, before)
                node.cut_until_s = loop.time() + CUT_S
                await asyncio.sleep(TIMEOUT_S)
                return Failure(Problem(Code.TABLE_UNAVAILABLE))
            return await real(duty, row, before)

        client.write_lease = write


class AcknowledgedLate(UsageHistory):
    """A history whose first holder gets the answer to a late renewal within its time limit.

    The holder can't reach the store for most of its tenure. Its last renewal, with its first
    decision, is under way while the next holder takes the lease, decides and reports the window.
    Then the store is restored from a copy of before, and executes and acknowledges the renewal.

    Attributes:
      late_s: How long the renewal took.
      is_held: Whether the first holder takes the lease as its own after the answer.
    """

    def __init__(self) -> None:
        """Prepare the history."""
        super().__init__(1, Faults(loss_rate=0.0))
        self.store.loss_rate = 0.0
        self.late_s = 0.0
        self.is_held = False
        self._reached = asyncio.Event()
        self._cut = asyncio.Event()
        self._executed = asyncio.Event()

    async def play(self) -> None:
        """Run the nodes, with the fixed faults."""
        self.nodes += [ReportingNode(self, number) for number in range(5)]
        first, second = self.nodes[:2]
        _withhold_counts(self.nodes[4], first.name)
        self._delay_decision(first, second)
        await self._cut.wait()
        self.store.copy()
        # Its peers don't hear the first holder either.
        second.ranking = 0
        loop = asyncio.get_running_loop()
        await asyncio.sleep(first.keeper._tenure.until_s - loop.time() - 0.05)
        self._reached.set()
        sent_s = loop.time()
        renewing = asyncio.ensure_future(first.keeper.step())
        while not self.received.reports:
            await second.keeper.step()
            await second.reporter.step()
            await asyncio.sleep(0.02)
        self.store.go_back()
        self._executed.set()
        await renewing
        self.late_s = loop.time() - sent_s
        self.is_held = first.keeper.credentials is not None
        await asyncio.sleep(REST_S)
        for node in self.nodes:
            node.kill()

    def _delay_decision(self, node: ReportingNode, successor: ReportingNode) -> None:
        """Let a node's writes with a decision fail, and then the last one take effect late."""
        client, store = node.keeper._store, self.store
        real = client.write_lease

        async def write(duty: str, row: LeaseRow, before: int) -> Result[LeaseReading, Problem]:
            if self._executed.is_set() or not (row.content and from_bytes(row.content, 0).reports):
                result = await real(duty, row, before)
                await successor.keeper.step()
                return result
            self._cut.set()
            if not self._reached.is_set():
                return Failure(Problem(Code.TABLE_UNAVAILABLE))
            await self._executed.wait()
            found = store.write(row, stamp(store.era, before - stamp(era_of(before), 0)))
            return await client._receive_answer(found, store.era)

        client.write_lease = write


def _withhold_counts(node: ReportingNode, receiver: str) -> None:
    """Lose all datagrams of a node to one receiver."""
    datagrams = node.sharing._datagrams
    real = datagrams.send
    datagrams.send = lambda kind, rows, addresses: real(
        kind, rows, [address for address in addresses if address != receiver]
    )


# Guards against a second report of a window: the row named a decision that nobody had seen stored,
# while another holder had decided the window in the era before.
@pytest.mark.parametrize("loses_told", [False, True])
def test_a_given_up_renewal_that_lands_after_a_restore_reports_no_window_twice(loses_told):
    history = LateRenewal(loses_told=loses_told)
    run_virtual(history.play())
    assert_that(history.landed, Equals(True))
    assert_that(list(history.received.reports), Contains(FIRST_WINDOW))
    assert_that(len(history.received.reports), GreaterThan(2))
    assert_that(history.received.conflicts, Equals([]))


# Guards against a second report of a window, and against two holders: the holder took the answer
# for a proof that nobody had held the lease meanwhile.
def test_a_renewal_that_is_acknowledged_after_a_restore_reports_no_window_twice():
    history = AcknowledgedLate()
    run_virtual(history.play())
    assert_that(history.late_s, LessThan(TIMEOUT_S))
    assert_that(list(history.received.reports), Contains(FIRST_WINDOW))
    assert_that(len(history.received.reports), GreaterThan(2))
    assert_that(history.received.conflicts, Equals([]))
    assert_that(history.is_held, Equals(False))
