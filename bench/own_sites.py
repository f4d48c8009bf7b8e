"""Derives deployments of other sizes, or in two regions, from a site file of the users' bench.

    python bench/own_sites.py SITE FOLDER

Days of the bench are then run on them with its commands `hunt` and `run`. The folder has to be
outside the repository, since nothing of the users' kit may be copied into the repository.
"""

import re
import shutil
import sys
from collections.abc import Callable, Iterable
from pathlib import Path

WIRE_FILE = "wire.json"
INSTANCES = re.compile(r"count = \d+, spare = \d+")
ENGINES = re.compile(r'(zone = "[^"]+", count = )(\d+)( \})')
FIRST_NAME = re.compile(r'^name = "([^"]+)"', re.MULTILINE)
LAST_ZONE = re.compile(r'(\{ name = "[^"]+", region = ")([^"]+)(" \},\n\])')

Change = Callable[[str], str]


def with_instances(counts: Iterable[int], spare: int) -> Change:
    """Return a change that sets the instances and spares of each zone; the last count repeats."""
    zone_counts = list(counts)

    def change(text: str) -> str:
        remaining = list(zone_counts)

        def count(_: re.Match) -> str:
            return (
                f"count = {remaining.pop(0) if len(remaining) > 1 else remaining[0]}, "
                f"spare = {spare}"
            )

        return INSTANCES.sub(count, text)

    return change


def with_engines(times: int) -> Change:
    """Return a change that multiplies the number of engines in each zone."""

    def change(text: str) -> str:
        return ENGINES.sub(lambda found: f"{found[1]}{int(found[2]) * times}{found[3]}", text)

    return change


def in_two_regions(text: str) -> str:
    """Move the last zone into a separate region."""
    return LAST_ZONE.sub(r"\1far-\2\3", text)


SITES: dict[str, tuple[Change, ...]] = {
    "small": (with_instances([3, 1], 1),),
    "mid": (with_instances([8, 7], 2), with_engines(2)),
    "hundred": (with_instances([34, 33], 2), with_engines(10)),
    "regions": (in_two_regions,),
}


def main(site_path: str, folder: str) -> None:
    """Write all deployments into a folder, which is created if needed."""
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
