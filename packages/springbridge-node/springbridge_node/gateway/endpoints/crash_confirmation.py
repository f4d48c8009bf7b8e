"""Determines whether an endpoint whose connection broke has crashed.

An endpoint that resets a connection, truncates an answer or is cut off by the network is still
running. One that has crashed refuses connections at once, since its host is up and no process
listens on the port. So one connection attempt tells the two apart, and its result is shared by all
requests that broke with the endpoint. An accepted connection shows that the process was running
then; it tells nothing of a request that breaks later, which needs an attempt of its own. A refusal
tells nothing of a request that was sent after it, to a process that has started there since.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import EndpointIncarnation
from springbridge.statements import leaving

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.http.http_connection import ConnectFailedError

# Seconds that a request whose attempt broke waits for the result, some round trips: a refusal comes
# within one, and a longer silence shows nothing.
REFUSAL_TIMEOUT_S = 0.05
# Seconds for which a confirmed crash holds for the other requests that broke with the endpoint.
# Less than the time after which another endpoint may have the address.
RESULT_TTL_S = 1.0


class ProcessState(Enum):
    """What a connection attempt tells of the process of an endpoint.

    RUNS: It accepted the connection. ENDED: The connection was refused. SILENT: Neither, in time.
    """

    RUNS = auto()
    ENDED = auto()
    SILENT = auto()


@dataclass(slots=True)
class _Attempt:
    """A connection attempt, whose result is what it tells of the endpoint's process.

    Attributes:
      has_begun: Whether the connection may have been accepted already.
      ended_s: When it ended, on the clock of `clock.now_s`; infinite before.
    """

    task: asyncio.Future[ProcessState] | None = None
    has_begun: bool = False
    ended_s: float = float("inf")


class CrashConfirmation:
    """Confirms crashes of endpoints, with one connection attempt at a time for each."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Start without results."""
        self._pool = pool
        self._latest: dict[EndpointIncarnation, _Attempt] = {}

    async def has_crashed(
        self,
        state: EndpointState,
        on_late_crash: Callable[[], None],
        sent_s: float = float("-inf"),
    ) -> bool:
        """Return whether an endpoint has crashed; one that is leaving or not listed never counts.

        Args:
          on_late_crash: Called if a crash is confirmed only after REFUSAL_TIMEOUT_S, as on an
            instance that is short of processor time.
          sent_s: When the request that broke was sent, on the clock of `clock.now_s`.
        """
        if leaving.wants_nothing(state.statements.leaving, now_s()):
            return False
        task = self._attempt(state, sent_s)
        if task is None:
            return False
        found = await _result_within(REFUSAL_TIMEOUT_S, task)
        if not task.done():
            task.add_done_callback(lambda ended: on_late_crash() if _found_crash(ended) else None)
        return found is ProcessState.ENDED

    def note_refusal(self, incarnation: EndpointIncarnation) -> None:
        """Record that an endpoint has just refused a connection that was opened elsewhere."""
        found = asyncio.get_running_loop().create_future()
        found.set_result(ProcessState.ENDED)
        attempt = self._latest[incarnation] = _Attempt(found, has_begun=True, ended_s=now_s())
        self._forget_later(incarnation, attempt)

    def _attempt(self, state: EndpointState, sent_s: float) -> asyncio.Future[ProcessState] | None:
        """Return an attempt for a request that has just broken; None if its end is no crash."""
        if state.is_leaving or not state.is_listed:
            return None
        return self._attempt_for_break_now(state, sent_s)

    def _attempt_for_break_now(
        self, state: EndpointState, sent_s: float
    ) -> asyncio.Future[ProcessState]:
        """Return an attempt whose result holds for a request that has just broken.

        That is one that has not begun yet, one that has confirmed a crash since the request was
        sent, or a new one.
        """
        incarnation = state.entry.incarnation
        latest = self._latest.get(incarnation)
        if latest is not None and latest.ended_s < sent_s:
            latest = None
        if latest is not None and (not latest.has_begun or _found_crash(latest.task)):
            return latest.task
        attempt = self._latest[incarnation] = _Attempt()
        attempt.task = asyncio.ensure_future(self._connect_after(latest, attempt, state))
        attempt.task.add_done_callback(lambda _: self._forget_later(incarnation, attempt))
        return attempt.task

    async def _connect_after(
        self, previous: _Attempt | None, attempt: _Attempt, state: EndpointState
    ) -> ProcessState:
        """Return the result of the previous attempt if it confirms a crash, else of a new one."""
        try:
            if previous is not None:
                await asyncio.wait({previous.task})
                if _found_crash(previous.task):
                    return ProcessState.ENDED
            attempt.has_begun = True
            return await self._connect(state)
        finally:
            attempt.ended_s = now_s()

    async def _connect(self, state: EndpointState) -> ProcessState:
        """Connect to an endpoint; the pool keeps the connection for use."""
        try:
            await self._pool.warm(state.entry)
        except ConnectFailedError as exc:
            return ProcessState.ENDED if exc.refused else ProcessState.SILENT
        except Exception as exc:
            # Nothing is known of the endpoint then; the requests that wait must hear that.
            logs.fault(exc, "confirm crash", engine=state.entry.endpoint_id)
            return ProcessState.SILENT
        return ProcessState.RUNS

    def _forget_later(self, incarnation: EndpointIncarnation, attempt: _Attempt) -> None:
        """Drop a result after RESULT_TTL_S, unless a later attempt has replaced it."""

        def forget() -> None:
            if self._latest.get(incarnation) is attempt:
                del self._latest[incarnation]

        asyncio.get_running_loop().call_later(RESULT_TTL_S, forget)


async def _result_within(timeout_s: float, task: asyncio.Future[ProcessState]) -> ProcessState:
    """Return the result of an attempt, SILENT if it takes longer than timeout_s seconds."""
    # asyncio.wait does not cancel the task when one of the requests that wait for it is.
    done, _ = await asyncio.wait({task}, timeout=timeout_s)
    return task.result() if done else ProcessState.SILENT


def _found_crash(task: asyncio.Future[ProcessState]) -> bool:
    """Return whether a connection attempt has confirmed a crash; a cancelled one has not."""
    return task.done() and not task.cancelled() and task.result() is ProcessState.ENDED
