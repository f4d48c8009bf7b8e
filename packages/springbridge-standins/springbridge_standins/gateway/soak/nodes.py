"""Node processes of the soak: each runs the real program and is controlled by signals."""

import asyncio
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import orjson

from springbridge_standins.gateway.cuts import CutKind
from springbridge_standins.gateway.soak.cuttable_node import CUT_VARIABLE, write_cut

# Longest time for a node process to log its start, on a busy machine, and pause between two looks.
MAX_START_S, START_POLL_S = 60.0, 0.2
# Number of logged events that tell what a node did last.
LAST_EVENTS = 5

SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
internalPorts = [{gossip}, {gossip}]
seeds = [{seeds}]
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
control = "{ip}:{peers}"
directory = "{ip}:{directory}"
[bounds]
drainMs = 2000
graceS = 6
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 60
ttl_max_s = 5
reportWindowS = 2
leaseMs = 3000
[platform]
address = "{store}"
[cloud]
address = "{duties}"
duties = ["usage", "scaling"]
"""

# Line of the settings while the whole system starts for the first time.
FIRST_START = "bootstrap = true\n"

ZONES = ("perth-a", "perth-b", "perth-c")


@dataclass(frozen=True)
class Ports:
    """Ports of each node; all nodes use the same ones, each on its own loopback IP."""

    callers: int
    ready: int
    peers: int
    directory: int
    gossip: int


class NodeProcess:
    """A node that runs as a process.

    Attributes:
      zone: Its failure domain.
      busy: Whether a fault affects the node, so that no other fault may pick it.
      released_s: When the last fault ended, on the monotonic clock.
      kills: How often it was killed; requests under way then may get no answer.
    """

    def __init__(
        self,
        number: int,
        ip: str,
        ports: Ports,
        store: str,
        duties: str,
        folder: Path,
        seeds: list[str],
        first_start: bool = False,
    ):
        """Write the settings file without starting the process.

        Args:
          first_start: Whether the settings say that the whole system starts for the first time,
            until end_first_start().
        """
        self.ip = ip
        self.name = f"node-{number}"
        self.ports = ports
        self.busy = False
        self.released_s = float("-inf")
        self.kills = 0
        self.zone = ZONES[number % len(ZONES)]
        self._cut_file = folder / f"{self.name}.cut"
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        quoted = ", ".join(f'"{seed}"' for seed in seeds)
        self._settings.write_text(
            (FIRST_START if first_start else "")
            + SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                store=store,
                duties=duties,
                seeds=quoted,
                **vars(ports),
            )
        )

    @property
    def caller_address(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:{self.ports.callers}"

    @property
    def directory(self) -> str:
        """Return the address of the directory for callers."""
        return f"{self.ip}:{self.ports.directory}"

    async def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "springbridge_standins.gateway.soak.cuttable_node",
                env=os.environ
                | {
                    "SPRINGBRIDGE_SETTINGS": str(self._settings),
                    CUT_VARIABLE: str(self._cut_file),
                },
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Return the id of the process, which was started."""
        return self._process.pid

    def add_limits(self, memory_mb: int, max_fds: int) -> None:
        """Add the limits of a machine to the settings: memory in MB, and descriptors."""
        limits = f"[limits]\nmemoryMb = {memory_mb}\nmaxFds = {max_fds}\n"
        self._replace_settings(self._settings.read_text() + limits)

    def cut_paths(self, kind: CutKind | None, addresses: list[str]) -> None:
        """Cut this node's paths to some engines; no kind mends all."""
        write_cut(self._cut_file, kind, addresses)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs; SIGKILL is counted in kills."""
        self.kills += number is signal.SIGKILL
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether the process was started and runs no longer."""
        return self._process is not None and self._process.returncode is not None

    async def wait_exit(self) -> int:
        """Wait until the process has exited and return its status."""
        return await self._process.wait()

    def had_started(self) -> bool:
        """Return whether the process has logged its start; before that it serves no requests."""
        return f'"pid":{self._process.pid},' in self._log.read_text()

    async def wait_started(self, least_s: float) -> None:
        """Wait until the process has logged its start or has ended, at most MAX_START_S.

        Args:
          least_s: How long to wait at least, in seconds.
        """
        began_s = time.monotonic()
        await asyncio.sleep(least_s)
        while self._process.returncode is None and not self.had_started():
            if time.monotonic() > began_s + MAX_START_S:
                return
            await asyncio.sleep(START_POLL_S)

    def last_events(self) -> list[str]:
        """Return time and name of the last events that the node logged, the latest one last."""
        lines = self._log.read_text(errors="replace").splitlines()[-LAST_EVENTS:]
        return [_time_and_name(line) for line in lines]

    def end_first_start(self) -> None:
        """Take out of the settings that the whole system starts for the first time."""
        self._replace_settings(self._settings.read_text().removeprefix(FIRST_START))

    def touch_settings(self) -> None:
        """Rewrite the settings file atomically, as a node may be reading it."""
        self._replace_settings(self._settings.read_text())

    def _replace_settings(self, text: str) -> None:
        """Write the settings file atomically."""
        written = self._settings.with_suffix(".new")
        written.write_text(text)
        written.replace(self._settings)

    async def end(self) -> None:
        """Kill the process, also if it is frozen, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


def _time_and_name(line: str) -> str:
    """Return the time of day and the name of a logged event; a line of other output as it is."""
    try:
        event = orjson.loads(line)
        return f"{event['timestamp']:.2f} {event['message_type']}"
    except (ValueError, KeyError, TypeError):
        return line
