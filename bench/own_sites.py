"""Writes deployments of our own from a site file of the users' bench: other sizes, two regions.

    python bench/own_sites.py SITE FOLDER

Days of the bench are then played on them with `hunt` and `run`. The folder lies outside the
repository, since nothing of the users' kit is copied into it.
"""

import re
import shutil
import sys
from collections.abc import Callable, Iterable
from pathlib import Path

WIRE_FILE = "wire.json"
MACHINES = re.compile(r"count = \d+, spare = \d+")
ENGINES = re.compile(r'(zone = "[^"]+", count = )(\d+)( \})')
FIRST_NAME = re.compile(r'^name = "([^"]+)"', re.MULTILINE)
LAST_ZONE = re.compile(r'(\{ name = "[^"]+", region = ")([^"]+)(" \},\n\])')

Change = Callable[[str], str]


def with_machines(counts: Iterable[int], spare: int) -> Change:
    """Return a change of how many machines stand in each zone, the last count for all others."""
    wanted = list(counts)

    def change(text: str) -> str:
        left = list(wanted)

        def count(_: re.Match) -> str:
            return f"count = {left.pop(0) if len(left) > 1 else left[0]}, spare = {spare}"

        return MACHINES.sub(count, text)

    return change


def with_engines(times: int) -> Change:
    """Return a change that multiplies the engines in each zone."""

    def change(text: str) -> str:
        return ENGINES.sub(lambda found: f"{found[1]}{int(found[2]) * times}{found[3]}", text)

    return change


def in_two_regions(text: str) -> str:
    """Put the last zone into a region of its own."""
    return LAST_ZONE.sub(r"\1far-\2\3", text)


SITES: dict[str, tuple[Change, ...]] = {
    "small": (with_machines([3, 1], 1),),
    "mid": (with_machines([8, 7], 2), with_engines(2)),
    "hundred": (with_machines([34, 33], 2), with_engines(10)),
    "regions": (in_two_regions,),
}


def main(site_path: str, folder: str) -> None:
    """Write all deployments."""
    site = Path(site_path)
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(site.with_name(WIRE_FILE), target / WIRE_FILE)
    for name, changes in SITES.items():
        text = FIRST_NAME.sub(rf'name = "\1-{name}"', site.read_text(), count=1)
        for change in changes:
            text = change(text)
        (target / f"{site.stem}-{name}.toml").write_text(text)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
