"""The bytes that all clients of an instance make it hold, added up, and who gives way.

Decided: which client's bytes are given up when all clients together hold more than they may.
Inputs: how much each connection holds, and since when it has sent nothing.
Outcome: a connection is told to give up its bytes; the sum stays under the limit.
Why: a crowd of clients inside the limits of one connection would use up the memory. Large bodies
that make no progress go first, then the largest ones, so that small requests are served beside a
crowd of large ones.
"""

from typing import Protocol

# Bytes up to which a request counts as small.
SMALL_BYTES = 64 << 10
# Share of the limit within which holders of more than SMALL_BYTES stay, so that small requests have
# room when large ones are being served, which cannot be given up.
LARGE_SHARE = 0.75
# Seconds without a byte after which a large body counts as making no progress.
STALLED_S = 1.0


class Holder(Protocol):
    """A connection that holds bytes of its client.

    Attributes:
      held_bytes: What it holds, as the budget was told last.
      progress_s: When it received bytes last, on the budget's clock.
    """

    held_bytes: int
    progress_s: float

    def evictable_bytes(self) -> int:
        """Return how many bytes evict() would set free; 0 if none can be given up."""

    def evict(self) -> None:
        """Give up what can be given up, and tell the budget."""


class ByteBudget:
    """Adds up what all holders hold, and evicts some when that is too much.

    Attributes:
      limit_bytes: The most that all holders together may hold.
      held_bytes: What they hold.
      now_s: The time, in seconds; its owner sets it.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start without holders."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.now_s = 0.0
        self._holders: set[Holder] = set()

    def resize(self, holder: Holder, held_bytes: int) -> None:
        """Record how much a holder holds now; holders, it among them, may be evicted for that."""
        growth = held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        self.held_bytes += growth
        if not held_bytes:
            self._holders.discard(holder)
        elif growth > 0:
            self._holders.add(holder)
            self._make_room(held_bytes)

    def _make_room(self, growing_bytes: int) -> None:
        """Evict holders until the others fit, or none has anything left to give up.

        Args:
          growing_bytes: What the holder holds that has grown.
        """
        limit = self.limit_bytes
        if growing_bytes > SMALL_BYTES:
            limit *= LARGE_SHARE
        while self.held_bytes > limit:
            victim = max(self._holders, key=self._rank, default=None)
            if victim is None or not victim.evictable_bytes():
                return
            victim.evict()

    def _rank(self, holder: Holder) -> tuple[bool, int]:
        """Return the rank of a holder; the highest one is evicted first."""
        size = holder.evictable_bytes()
        is_stalled = self.now_s - holder.progress_s > STALLED_S
        return size > SMALL_BYTES and is_stalled, size
