"""An event loop whose time passes at once: whoever sleeps wakes in the right order, without
waiting.

For histories of minutes that are drawn by the thousand. Nothing that runs on it may do input or
output.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _SkippingSelector(selectors.SelectSelector):
    """Lets the time of the loop pass in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return at once, with the time that the loop would have waited gone by."""
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """The loop."""

    def __init__(self) -> None:
        """Start at second 0."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual moment, in seconds."""
        return self._skipping.now_s


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time, and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
