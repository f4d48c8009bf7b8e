"""Finds out whether an endpoint whose connection broke has ended.

An endpoint that resets a connection, cuts an answer short or is cut off goes on; one that has ended
refuses connections at once, since its address answers and nobody listens there. So one connection
to it tells the two apart, and also spares other requests the attempt.
"""

import asyncio
from collections.abc import Callable

from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import EndpointIncarnation

from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.http.http_connection import ConnectFailedError

# Seconds that a request whose attempt broke waits for the result: a refusal comes within a round
# trip, and a longer silence shows nothing. Some round trips.
REFUSAL_S = 0.05
# Seconds for which the result holds for the other requests that broke with the endpoint. It bounds
# what an endpoint costs that resets many connections: one more a second from each node. Below the
# time in which another endpoint may have the address.
RESULT_KEPT_S = 1.0


class CrashConfirmation:
    """Confirms the ends of endpoints, with one connection for each."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Start without results."""
        self._pool = pool
        self._results: dict[EndpointIncarnation, asyncio.Task[bool]] = {}

    async def has_crashed(self, state: EndpointState, late: Callable[[], None]) -> bool:
        """Return whether an endpoint has ended that was not about to leave.

        Args:
          late: Called if that is found only after REFUSAL_S, as on a node that is short of
            processor time.
        """
        if state.is_leaving or not state.is_listed:
            return False
        incarnation = state.entry.incarnation
        task = self._results.get(incarnation)
        if task is None:
            task = asyncio.ensure_future(self._refuses(state))
            self._results[incarnation] = task
            task.add_done_callback(lambda _: self._forget_later(incarnation))
        # Not cancelled with one of the requests that wait for it.
        done, _ = await asyncio.wait({task}, timeout=REFUSAL_S)
        if done:
            return task.result()
        task.add_done_callback(lambda found: late() if _has_ended(found) else None)
        return False

    async def _refuses(self, state: EndpointState) -> bool:
        """Return whether an endpoint refuses a connection; one that comes up is kept for use."""
        try:
            await self._pool.warm(state.entry)
        except ConnectFailedError as exc:
            return exc.refused
        except OSError:
            # No descriptor is left for a connection, so nothing is known; the attempt is logged.
            return False
        return False

    def _forget_later(self, incarnation: EndpointIncarnation) -> None:
        """Drop a result after RESULT_KEPT_S."""
        loop = asyncio.get_running_loop()
        loop.call_later(RESULT_KEPT_S, self._results.pop, incarnation, None)


def _has_ended(found: asyncio.Task[bool]) -> bool:
    """Return the result of a connection attempt that is over; one that was cancelled shows none."""
    return not found.cancelled() and found.result()
