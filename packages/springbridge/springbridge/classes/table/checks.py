"""Checks across rows of the operators' table, for changes and imported sheets."""

from collections.abc import Mapping

from springbridge.classes.table.rows import KEY_PARTS, Cells
from springbridge.codes import Code
from springbridge.problems import Problem


def check_references(rows: Mapping[str, Cells]) -> list[Problem]:
    """Return a Problem for each share whose customer or class has no row."""
    problems = []
    for key in rows:
        parts = key.split("/")
        if parts[0] != "share" or len(parts) != KEY_PARTS["share"]:
            continue
        for wanted in (f"customer/{parts[1]}", f"class/{parts[2]}"):
            if wanted not in rows:
                problems.append(Problem(Code.ROW_MALFORMED, f"there is no row {wanted}", key))
    return problems


def check_key_owners(rows: Mapping[str, Cells]) -> list[Problem]:
    """Return a Problem for each key digest that more than one customer has."""
    owners: dict[str, str] = {}
    problems = []
    for key, cells in rows.items():
        if not key.startswith("customer/"):
            continue
        for digest in cells.get("key_hashes", "").split():
            if owners.setdefault(digest, key) != key:
                detail = f"a key of this row also belongs to {owners[digest]}"
                problems.append(Problem(Code.ROW_MALFORMED, detail, key))
    return problems
