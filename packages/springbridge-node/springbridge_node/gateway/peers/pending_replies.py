"""Questions to peers by datagram that wait for their replies, each for a short time."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

# Seconds to wait for a peer's reply.
ANSWER_S = 0.08

Reply = TypeVar("Reply")


class PendingReplies(Generic[Reply]):
    """The questions of one kind that have no reply yet, by number."""

    def __init__(self) -> None:
        """Start without a question."""
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[Reply]] = {}

    async def ask(self, send: Callable[[int], None], longest_s: float = ANSWER_S) -> Reply | None:
        """Return the reply to a question, or None if it does not come in time.

        Args:
          send: Sends the question under a number, which the reply repeats.
          longest_s: How long to wait for it, in seconds.
        """
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        send(number)
        try:
            async with asyncio.timeout(longest_s):
                return await fut
        except TimeoutError:
            # No line here: who asked goes on without, and logs what that leads to.
            return None
        finally:
            del self._waiting[number]

    def take(self, number: int, reply: Reply) -> None:
        """Hand a reply to the question that waits for it; a late one is of no use."""
        fut = self._waiting.get(number)
        if fut is not None and not fut.done():
            fut.set_result(reply)
