"""What a process does with signals before its program is loaded; it imports next to nothing."""

import signal


def ignore_reload() -> None:
    """Pass over the signal that settings changed: a starting node has yet to read them.

    By default the signal would end the process while its libraries are loaded. The node handles it
    itself once it runs.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
