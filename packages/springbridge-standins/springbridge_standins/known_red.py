"""Reads KNOWN-RED.txt: the tests that fail for a known fault which is not mended yet.

The test command passes over just these and prints them, so that a fault can be committed as a
failing test before its repair. Each line has three parts between bars: the test (file and function,
all its cases), the cause, and where the fault is tracked.
"""

from dataclasses import dataclass
from pathlib import Path

# Most entries in the file; the users set it, so that the list cannot grow into a habit.
MAX_ENTRIES = 3


@dataclass(frozen=True)
class KnownRed:
    """A test that may fail.

    Attributes:
      test: Path of its file from the root, two colons, and its function.
    """

    test: str
    cause: str
    tracked: str


def read_known_red(root: Path) -> tuple[KnownRed, ...]:
    """Return the entries of KNOWN-RED.txt below a folder; none where there is no such file.

    Raises:
      ValueError: A line has other parts, names no test that exists, or is one too many.
    """
    path = root / "KNOWN-RED.txt"
    if not path.exists():
        return ()
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise ValueError(f"more than {MAX_ENTRIES} entries in {path.name}")
    return tuple(_read_entry(root, line) for line in lines)


def _read_entry(root: Path, line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise ValueError(f"not test, cause and issue between bars: {line}")
    entry = KnownRed(*parts)
    file_name, _, function = entry.test.partition("::")
    file = root / file_name
    if not function or not file.is_file() or f"def {function}(" not in file.read_text():
        raise ValueError(f"no such test: {entry.test}")
    return entry


def find(entries: tuple[KnownRed, ...], test_id: str) -> KnownRed | None:
    """Return the entry of a test by the id that pytest gives one of its cases, or None."""
    test = test_id.partition("[")[0]
    return next((entry for entry in entries if entry.test == test), None)
