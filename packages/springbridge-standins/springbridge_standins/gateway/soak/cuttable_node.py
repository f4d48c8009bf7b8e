"""Runs a node whose paths to engines the soak can cut: the real program with other sockets.

The soak writes a cut into a file, which the node's event loop reads every few milliseconds. See
cuts.py for what a cut does; all streams of the process count as those of one instance.
"""

import asyncio
import os
from functools import partial
from pathlib import Path

from springbridge_node.gateway.early_signals import ignore_reload
from springbridge_node.gateway.http import http_connection

from springbridge_standins.gateway.cuts import CutKind, CuttableStream, PathCuts

# Environment variable with the file of the cut.
CUT_VARIABLE = "SOAK_CUT_FILE"
# Seconds between two looks at the file.
POLL_S = 0.02


def write_cut(file: Path, kind: CutKind | None, addresses: list[str]) -> None:
    """Write a cut of the paths to some addresses into a file, atomically; no kind mends all."""
    written = file.with_suffix(".new")
    written.write_text(" ".join([kind.name, *addresses]) if kind else "")
    written.replace(file)


class CutFollower:
    """Applies the cut in a file to the streams of this process."""

    def __init__(self, file: Path) -> None:
        """Start without a cut."""
        self._file = file
        self._cuts = PathCuts()
        self._applied = ""
        self._loop: asyncio.AbstractEventLoop | None = None

    def make_stream(self, *args: object, **kwargs: object) -> CuttableStream:
        """Return a stream, as IOStream does; the first one starts the looks at the file."""
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
            self._poll()
        return CuttableStream(self._cuts, *args, **kwargs)

    def _poll(self) -> None:
        """Apply what the file says, and look again in POLL_S."""
        self._loop.call_later(POLL_S, self._poll)
        text = self._file.read_text() if self._file.exists() else ""
        if text == self._applied:
            return
        self._applied = text
        self._cuts.mend("")
        if text:
            kind, *addresses = text.split()
            self._cuts.cut("", addresses, CutKind[kind])


if __name__ == "__main__":
    ignore_reload()
    http_connection.IOStream = partial(CutFollower(Path(os.environ[CUT_VARIABLE])).make_stream)
    from springbridge_platform.main import main

    main()
