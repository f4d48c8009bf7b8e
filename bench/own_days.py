"""Writes days of our own for a site of the users' bench, with kinds of trouble that its days lack.

    python bench/own_days.py SITE FOLDER

The traffic is that of the site's first day; the troubles are the table below. The folder gets one
file for each, to be played by the `run` of the bench.
"""

import sys
import tomllib
from pathlib import Path

Entry = dict[str, object]

MODEL, PLAIN = "MODEL", "PLAIN"


def fault(kind: str, at: float, **fields: object) -> Entry:
    """Return an entry of a day."""
    return {"at": at, "kind": kind} | fields


# Name of the day, planned work, other troubles. MODEL and PLAIN stand for the site's services.
DAYS: dict[str, tuple[list[Entry], list[Entry]]] = {
    "lapse-twice": (
        [fault("config_change", 12.5, how="route")],
        [
            fault("platform_down", 6, for_s=5, how="silent lapse", share=0.0),
            fault("srv_crash", 7, service=MODEL, share=0.2, how="gone"),
            fault("platform_down", 20, for_s=6, how="busy lapse", share=0.0),
            fault("srv_crash", 21, service=PLAIN, share=0.3, how="gone"),
        ],
    ),
    "lapse-while-draining": (
        [fault("scale_in", 7, share=0.3), fault("scale_in", 21, share=0.3)],
        [
            fault("platform_down", 6, for_s=4, how="silent lapse", share=0.0),
            fault("platform_down", 20, for_s=7, how="reset lapse", share=0.0),
        ],
    ),
    "engines-slow": (
        [],
        [
            fault("srv_slow", 5, share=0.4, x=6, for_s=6, service=MODEL),
            fault("srv_slow", 18, share=0.5, x=4, for_s=6),
        ],
    ),
    "engines-cut": (
        [],
        [
            fault("srv_cut", 4, share=0.4, for_s=4, how="fronts", x=0.5),
            fault("srv_cut", 11, share=0.4, for_s=4, how="some", x=0.5),
            fault("srv_cut", 18, share=0.4, for_s=4, how="one_way"),
            fault("srv_cut", 25, share=0.4, for_s=4, how="reset"),
        ],
    ),
    "addresses-reused": (
        [],
        [
            fault("replace_with_reuse", 5, share=0.3),
            fault("replace_with_reuse", 13, share=0.3, how="drain"),
            fault("replace_with_reuse", 21, share=0.3, how="dark"),
        ],
    ),
    "clocks": (
        [fault("hup", 8, share=1.0, gap_s=1.0), fault("hup", 20, share=1.0, gap_s=0.1)],
        [
            fault("clock_step", 5, x=8000, share=0.6, for_s=6, how="ahead"),
            fault("clock_step", 17, x=8000, share=0.6, for_s=6, how="back"),
        ],
    ),
    "connections-reset": (
        [fault("roll_term", 20, share=1.0, gap_s=1.0, how="busy")],
        [fault("reset_conns", at, share=0.9, x=0.9) for at in (4, 8, 12, 16)],
    ),
    "all-killed-twice": (
        [],
        [
            fault("herd_kill", 6, share=1.0, for_s=2),
            fault("herd_kill", 18, share=1.0, for_s=3, how="power"),
        ],
    ),
    "all-killed-in-an-outage": (
        [fault("config_change", 20, how="route")],
        [
            fault("platform_down", 6, for_s=6, how="reset", share=0.0),
            fault("herd_kill", 8, share=1.0, for_s=1.5, how="power"),
            fault("platform_down", 22, for_s=6, how="silent", share=0.0),
            fault("herd_kill", 24, share=1.0, for_s=1.5, how="power"),
        ],
    ),
    "all-dark": (
        [],
        [
            fault("srv_crash", 5, service=MODEL, share=1.0, for_s=4, how="dark all"),
            fault("srv_crash", 18, service=PLAIN, share=1.0, for_s=4, how="all"),
        ],
    ),
    "store-picks-nodes": (
        [fault("config_change", 9, how="route"), fault("config_change", 22, how="tenant")],
        [
            fault("platform_down", 5, for_s=8, how="nodes busy revoke meet", share=0.5),
            fault("platform_down", 19, for_s=8, how="nodes many revoke drain leader", share=0.5),
        ],
    ),
    "four-at-once": (
        [fault("roll_term", 8, share=1.0, gap_s=1.2), fault("release", 8, share=0.6, gap_s=1.0)],
        [
            fault("node_freeze", 8, share=0.3, for_s=3),
            fault("srv_grey", 8, service=MODEL, how="hang", x=0.5, for_s=6, share=0.3),
            fault("burst", 8, x=1.6, for_s=6),
            fault("platform_slow", 8, x=60, for_s=6),
        ],
    ),
    "short-notice": (
        [
            fault("scale_in", 5, share=0.3, how="spot", x=1.0),
            fault("scale_in", 16, share=0.3, how="reclaim", x=1.5, for_s=6),
        ],
        [fault("burst", 16, x=1.5, for_s=5)],
    ),
    "store-cut-silent": (
        [fault("config_change", 9.8, how="route")],
        [
            fault("platform_down", 10, for_s=12, how="silent", share=0.0),
            fault("revoke", 9.5, count=2, gap_s=0.2),
        ],
    ),
    "nodes-cut": (
        [fault("config_change", 6.5, how="route"), fault("config_change", 19, how="tenant")],
        [
            fault("node_cut", 6, share=0.5, for_s=6, how="all"),
            fault("core_cut", 18, count=2, for_s=5, how="all"),
            fault("revoke", 19, count=2, gap_s=0.5),
        ],
    ),
    "nodes-cut-in-a-burst": (
        [],
        [
            fault("burst", 4, x=3.0, for_s=5),
            fault("node_cut", 8, share=0.5, for_s=7, how="all"),
            fault("burst", 20, x=3.0, for_s=5),
            fault("node_cut", 24, share=0.5, for_s=7, how="all"),
        ],
    ),
    "answers-spoilt": (
        [],
        [
            fault("garble", 4, share=0.8, x=0.06, for_s=6, how="extra late"),
            fault("garble", 12, share=0.8, x=0.06, for_s=6, how="unframed"),
            fault("garble", 20, share=0.8, x=0.06, for_s=5, how="early"),
            fault("answer_lost", 26, share=0.8, x=0.1, for_s=5, how="reset"),
        ],
    ),
    "nodes-slow": (
        [fault("config_storm", 10, count=8, gap_s=0.4)],
        [
            fault("node_slow", 5, share=0.5, x=8, for_s=6),
            fault("node_freeze", 15, share=0.5, for_s=4),
            fault("lossy", 22, x=0.05, for_s=6),
        ],
    ),
}


def services(site: dict) -> dict[str, str]:
    """Return the names of the site's services of models and of plain work."""
    models = [each["name"] for each in site["services"] if "llm" in each]
    plain = [each["name"] for each in site["services"] if "llm" not in each]
    return {MODEL: models[0], PLAIN: plain[0]}


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


def day_text(name: str, site: dict, named: dict[str, str]) -> str:
    """Return a day as the bench reads it."""
    plan, faults = (
        [
            {field: named.get(value, value) if field == "service" else value
             for field, value in entry.items()}
            for entry in entries
        ]
        for entries in DAYS[name]
    )  # fmt: skip
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
        "plan": plan,
        "faults": faults,
        "traffic": site["day"][0]["traffic"],
    }
    return "".join(f"{field} = {literal(value)}\n" for field, value in fields.items())


def main(site_path: str, folder: str) -> None:
    """Write all days."""
    site = tomllib.loads(Path(site_path).read_text())
    named = services(site)
    Path(folder).mkdir(parents=True, exist_ok=True)
    for name in DAYS:
        Path(folder, f"{name}.toml").write_text(day_text(name, site, named))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
