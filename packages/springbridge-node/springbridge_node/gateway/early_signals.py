"""Signals that arrive while the program is still being loaded.

This module is imported before all others, so it imports next to nothing itself.
"""

import signal


def ignore_reload() -> None:
    """Ignore SIGHUP, whose default action would end the process while it loads its libraries.

    Nothing is missed: the node reads its settings after that, and handles the signal itself once it
    runs.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
