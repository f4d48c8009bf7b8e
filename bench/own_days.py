"""Writes days of our own for a site of the users' bench, with kinds of trouble that its days lack.

    python bench/own_days.py SITE FOLDER

The traffic is that of the site's first day; the troubles stand in own_days.toml. The folder gets
one file for each, to be played by the `run` of the bench.
"""

import sys
import tomllib
from pathlib import Path

DAYS = Path(__file__).with_name("own_days.toml")

Entry = dict[str, object]


def services(site: dict) -> dict[str, str]:
    """Return the names of the site's services of models and of plain work."""
    models = [each["name"] for each in site["services"] if "llm" in each]
    plain = [each["name"] for each in site["services"] if "llm" not in each]
    return {"MODEL": models[0], "PLAIN": plain[0]}


def literal(value: object) -> str:
    """Return a value as TOML."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{name} = {literal(each)}" for name, each in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(literal(each) for each in value) + "]"
    return str(value)


def placed(entries: list[Entry], named: dict[str, str]) -> list[Entry]:
    """Return entries with the site's names of services."""
    return [
        (
            entry | {"service": named.get(entry["service"], entry["service"])}
            if "service" in entry
            else entry
        )
        for entry in entries
    ]


def day_text(name: str, day: dict[str, list[Entry]], site: dict) -> str:
    """Return a day as the bench reads it."""
    named = services(site)
    fields = {
        "name": name,
        "slot": "trouble",
        "seed": 1,
        "one": 0.9,
        "zero": 0.3,
        "labels": [],
        "wall": 2.0,
        "light": True,
        "goal": {"floor": 0.1},
        "plan": placed(day["plan"], named),
        "faults": placed(day["faults"], named),
        "traffic": site["day"][0]["traffic"],
    }
    return "".join(f"{field} = {literal(value)}\n" for field, value in fields.items())


def main(site_path: str, folder: str) -> None:
    """Write all days."""
    site = tomllib.loads(Path(site_path).read_text())
    Path(folder).mkdir(parents=True, exist_ok=True)
    for name, day in tomllib.loads(DAYS.read_text()).items():
        Path(folder, f"{name}.toml").write_text(day_text(name, day, site))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
