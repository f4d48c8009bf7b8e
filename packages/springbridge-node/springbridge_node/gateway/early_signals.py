"""Handles signals that arrive while the program's modules are still being imported.

This module is imported before all others, so it imports almost nothing itself.
"""

import signal


def ignore_reload() -> None:
    """Ignore SIGHUP, whose default action would end the process during its imports.

    No reload is lost: the node reads its settings afterwards, and handles the signal once it runs.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
