"""Matches datagram replies to the requests that await them, each with a short timeout."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

# Default time to wait for a peer's reply, in seconds.
REPLY_TIMEOUT_S = 0.08

Reply = TypeVar("Reply")


class PendingReplies(Generic[Reply]):
    """The outstanding requests of one kind, by request number."""

    def __init__(self) -> None:
        """Start without outstanding requests."""
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[Reply]] = {}

    async def request(
        self, send: Callable[[int], None], timeout_s: float = REPLY_TIMEOUT_S
    ) -> Reply | None:
        """Send a request and return its reply, or None if none comes in time.

        Args:
          send: Sends the request with the given number, which the reply repeats.
          timeout_s: How long to wait for the reply, in seconds.
        """
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        send(number)
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            # Not logged here: the caller continues without a reply and logs the consequence.
            return None
        finally:
            del self._waiting[number]

    def resolve(self, number: int, reply: Reply) -> None:
        """Pass a reply to the request that awaits it; ignore it if that has timed out."""
        fut = self._waiting.get(number)
        if fut is not None and not fut.done():
            fut.set_result(reply)
