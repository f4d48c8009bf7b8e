"""Invariants that the program asserts while it runs.

A violation is counted and reported in every run. Test runs set abort: the process ends at the first
violation, whose log line is then the last one.
"""

import os
from collections import Counter
from collections.abc import Callable

# Exit status after a violation in test runs; the soak recognises it. The EX_SOFTWARE of sysexits.h,
# an internal software error.
ABORT_STATUS = 70


class Invariants:
    """Counts, reports and, in test runs, stops at violated invariants."""

    def __init__(self, report: Callable[[str, str], None] | None = None, abort: bool = False):
        """Keep the way to report a violation (name and detail) and whether to stop at one."""
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
