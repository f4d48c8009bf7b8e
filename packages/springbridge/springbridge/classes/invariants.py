"""Invariants that are checked at run time.

A violation is counted and reported in every run. With abort set, as in test runs, the process ends
at the first violation, so that its log line is the last one.
"""

import os
from collections import Counter
from collections.abc import Callable

# Exit status after a violation in test runs, by which the soak test recognises it: EX_SOFTWARE
# (internal software error) of sysexits.h.
ABORT_STATUS = 70


class Invariants:
    """Counts and reports violated invariants, and aborts at the first one if told to."""

    def __init__(self, report: Callable[[str, str], None] | None = None, abort: bool = False):
        """Start with no checks counted.

        Args:
          report: Called with the name and detail of a violation; None reports nothing.
          abort: Whether a violation ends the process.
        """
        self._report = report
        self._abort = abort
        self.violations: Counter[str] = Counter()
        self.checks: Counter[str] = Counter()

    def check(self, name: str, holds: bool, detail: str = "") -> bool:
        """Record whether the invariant held and return it."""
        self.checks[name] += 1
        if holds:
            return True
        self.violations[name] += 1
        if self._report is not None:
            self._report(name, detail)
        if self._abort:
            os._exit(ABORT_STATUS)
        return False
