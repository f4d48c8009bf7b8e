"""Determines whether an endpoint whose connection broke has crashed.

An endpoint that resets a connection, truncates an answer or is cut off by the network is still
running. One that has crashed refuses connections at once, since its host is up and no process
listens on the port. So one connection attempt tells the two apart, and its result is shared by all
requests that broke with the endpoint.
"""

import asyncio
from collections.abc import Callable

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import EndpointIncarnation

from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.http.http_connection import ConnectFailedError

# Seconds that a request whose attempt broke waits for the result, some round trips: a refusal comes
# within one, and a longer silence shows nothing.
REFUSAL_TIMEOUT_S = 0.05
# Seconds for which the result holds for the other requests that broke with the endpoint. Limits the
# extra connections to an endpoint that resets many: one a second from each instance. Less than the
# time after which another endpoint may have the address.
RESULT_TTL_S = 1.0


class CrashConfirmation:
    """Confirms crashes of endpoints, with one connection attempt for each."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Start without results."""
        self._pool = pool
        self._results: dict[EndpointIncarnation, asyncio.Task[bool]] = {}

    async def has_crashed(self, state: EndpointState, on_late_crash: Callable[[], None]) -> bool:
        """Return whether an endpoint has crashed; one that is leaving or not listed never counts.

        Args:
          on_late_crash: Called if a crash is confirmed only after REFUSAL_TIMEOUT_S, as on an
            instance that is short of processor time.
        """
        if state.is_leaving or not state.is_listed:
            return False
        incarnation = state.entry.incarnation
        task = self._results.get(incarnation)
        if task is None:
            task = asyncio.ensure_future(self._refuses(state))
            self._results[incarnation] = task
            task.add_done_callback(lambda _: self._forget_later(incarnation))
        # asyncio.wait does not cancel the task when one of the requests that wait for it is.
        done, _ = await asyncio.wait({task}, timeout=REFUSAL_TIMEOUT_S)
        if done:
            return task.result()
        task.add_done_callback(lambda finished: on_late_crash() if _found_crash(finished) else None)
        return False

    async def _refuses(self, state: EndpointState) -> bool:
        """Return whether an endpoint refuses a connection; if not, the pool keeps it for use."""
        try:
            await self._pool.warm(state.entry)
        except ConnectFailedError as exc:
            return exc.refused
        except OSError:
            # No file descriptor is left, so nothing is known. The failed attempt is logged anyway.
            return False
        return False

    def _forget_later(self, incarnation: EndpointIncarnation) -> None:
        """Drop a result after RESULT_TTL_S."""
        loop = asyncio.get_running_loop()
        loop.call_later(RESULT_TTL_S, self._results.pop, incarnation, None)


def _found_crash(finished: asyncio.Task[bool]) -> bool:
    """Return the result of a finished connection attempt; a cancelled one confirms no crash."""
    return not finished.cancelled() and finished.result()
