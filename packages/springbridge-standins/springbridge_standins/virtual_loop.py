"""An asyncio event loop in virtual time: sleepers wake up in the right order, without real waiting.

Used to run thousands of random histories of minutes each. Nothing that runs on it may do input or
output.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _SkippingSelector(selectors.SelectSelector):
    """A selector that advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Add the timeout to the virtual time, and return what is ready now."""
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only when nothing is ready to run."""

    def __init__(self) -> None:
        """Start at virtual second 0."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._skipping.now_s


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end on a new VirtualLoop, and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
