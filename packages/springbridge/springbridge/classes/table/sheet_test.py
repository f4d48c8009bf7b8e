"""Tests of rows.py, build.py, checks.py, sheet.py and changes.py: the operators' table."""

import random
from pathlib import Path

import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from springbridge.classes.table import sheet
from springbridge.classes.table.build import build, updated
from springbridge.classes.table.changes import (
    Change,
    Edit,
    Snapshot,
    apply,
    check_edits,
    decode_change,
    difference,
    encode_change,
)
from springbridge.codes import Code

EXAMPLES = Path(__file__).parents[5] / "examples"
EXAMPLE_NAMES = ["findwell.csv", "archive.csv"]


@pytest.fixture
def rows():
    """Return the rows of an example table."""
    return sheet.load((EXAMPLES / "findwell.csv").read_text()).unwrap()


@pytest.fixture
def snapshot(rows):
    """Return an example table at version 3."""
    return Snapshot(3, rows)


@pytest.mark.parametrize("name", EXAMPLE_NAMES)
def test_examples_load_and_come_back_unchanged(name):
    text = (EXAMPLES / name).read_text()
    assert_that(sheet.export(sheet.load(text).unwrap()), Equals(text))


@pytest.mark.parametrize("name", EXAMPLE_NAMES)
def test_examples_make_whole_tables(name):
    loaded = sheet.load((EXAMPLES / name).read_text()).unwrap()
    built = build(1, loaded)
    table = built.table
    assert_that(built.problems, Equals(()))
    assert_that(len(table.shares), Equals(len(table.classes) * len(table.customers)))


BAD_CELLS = [
    ("class/claim-answers", "tier", "first"),
    ("class/claim-answers", "first_token_ms", "soon"),
    ("class/claim-answers", "first_token_ms", "0"),
    ("class/claim-answers", "first_token_ms", "1.5"),
    ("class/claim-answers", "repeatable", "maybe"),
    ("class/claim-answers", "places", "perth a/b"),
    ("share/swan/claim-answers", "weight", "0"),
    ("share/swan/claim-answers", "weight", "nan"),
    ("share/swan/claim-answers", "concurrency", "-1"),
    ("engine/matching-1", "address", "localhost:80"),
    ("engine/matching-1", "kind", "router"),
    ("customer/swan", "key_hashes", "secret"),
]


@pytest.mark.parametrize(("key", "column", "text"), BAD_CELLS)
def test_bad_cell_is_named_and_nothing_is_loaded(rows, key, column, text):
    rows[key] = {**rows[key], column: text}
    problems = sheet.load(sheet.export(rows)).failure()
    assert_that(problems[0].code, Is(Code.ROW_MALFORMED))
    assert_that(problems[0].sentence(), Contains(column))
    assert_that(problems[0].source, Contains("line"))


BAD_SHEETS = {
    "wrong header": lambda text: text.replace("tier", "level", 1),
    "short line": lambda text: text + "class/x,urgent\n",
    "long line": lambda text: text + text.splitlines()[1] + ",more\n",
    "row twice": lambda text: text + text.splitlines()[1] + "\n",
    "unknown kind": lambda text: text + "zone/x" + "," * (len(sheet.HEADER) - 1) + "\n",
    "share without customer": lambda text: text.replace("customer/swan,", "customer/swam,"),
    "empty": lambda text: "",
}


@pytest.mark.parametrize("spoil", BAD_SHEETS.values(), ids=BAD_SHEETS)
def test_malformed_sheet_is_refused_whole(rows, spoil):
    result = sheet.load(spoil(sheet.export(rows)))
    assert_that(isinstance(result, Failure), Is(True))
    assert_that({problem.code for problem in result.failure()}, Equals({Code.ROW_MALFORMED}))


def test_conflicting_edit_of_the_same_row_shows_both_sides(snapshot):
    key = "share/swan/claim-answers"
    mine = Edit(key, {**snapshot.rows[key], "weight": "9"}, {**snapshot.rows[key], "weight": "5"})
    problem = check_edits(snapshot, (mine,)).failure()[0]
    assert_that(problem.code, Is(Code.VERSION_CONFLICT))
    assert_that(problem.detail, Contains("weight=1"))
    assert_that(problem.detail, Contains("weight=9"))


def test_key_of_two_customers_is_refused(snapshot):
    key = "customer/swan"
    stolen = {**snapshot.rows[key], "key_hashes": snapshot.rows["customer/stirling"]["key_hashes"]}
    problems = check_edits(snapshot, (Edit(key, snapshot.rows[key], stolen),)).failure()
    assert_that(problems, HasLength(1))


@pytest.mark.parametrize("guards", [0, 1, 2])
def test_edit_that_leaves_the_table_as_it_is_is_refused(snapshot, guards):
    """Accepted, it would use up a version and an audit record, and miss a concurrent edit."""
    keys = ["share/swan/claim-answers", "customer/swan"][:guards]
    edits = tuple(Edit(key, snapshot.rows[key], snapshot.rows[key]) for key in keys)
    problems = check_edits(snapshot, edits).failure()
    assert_that([problem.code for problem in problems], Equals([Code.NOTHING_CHANGED]))


def test_edit_may_name_unchanged_rows_beside_a_changed_one(snapshot):
    guard = Edit("customer/swan", snapshot.rows["customer/swan"], snapshot.rows["customer/swan"])
    row = snapshot.rows["share/swan/claim-answers"]
    edit = Edit("share/swan/claim-answers", row, {**row, "weight": "5"})
    assert_that(isinstance(check_edits(snapshot, (guard, edit)), Success), Is(True))


@pytest.mark.parametrize("key", ["foo/x", "class", "class/claim-answers/x", ""])
def test_a_guard_on_a_key_that_no_row_can_have_is_refused(snapshot, key):
    row = snapshot.rows["share/swan/claim-answers"]
    edit = Edit("share/swan/claim-answers", row, {**row, "weight": "5"})
    problems = check_edits(snapshot, (Edit(key, None, None), edit)).failure()
    assert_that([problem.code for problem in problems], Equals([Code.ROW_MALFORMED]))


def test_a_guard_may_demand_that_a_row_does_not_exist(snapshot):
    row = snapshot.rows["share/swan/claim-answers"]
    edit = Edit("share/swan/claim-answers", row, {**row, "weight": "5"})
    after = check_edits(snapshot, (Edit("class/none", None, None), edit)).unwrap()
    assert_that("class/none" in after.rows, Is(False))


def test_change_follows_its_version_only(snapshot):
    with pytest.raises(ValueError, match="cannot follow"):
        apply(snapshot, Change(5, "id", "who", "when", ()))


def test_change_survives_its_encoding(snapshot):
    edits = (Edit("a", None, {"x": "1"}), Edit("b", {"y": "2"}, None))
    change = Change(4, "id", "who", "when", edits)
    assert_that(decode_change(encode_change(change)), Equals(change))


def test_difference_turns_one_table_into_the_other(snapshot, rows):
    after = {**rows, "class/new": rows["class/claim-answers"]}
    del after["engine/matching-1"]
    change = Change(4, "id", "who", "when", difference(snapshot, after))
    assert_that(change.edits, HasLength(2))
    assert_that(apply(snapshot, change).rows, Equals(after))


def test_updating_equals_rebuilding(snapshot):
    """A table updated by changes equals the one built from its rows."""
    rng = random.Random(3)
    rows = dict(snapshot.rows)
    table = build(3, rows).table
    for version in range(4, 60):
        key = rng.choice(sorted(rows))
        if rng.random() < 0.3:
            changed = {key: None}
            rows.pop(key)
        else:
            other = rng.choice([one for one in sorted(rows) if one[:5] == key[:5]])
            cells = {**rows[other], "key_hashes": f"{version:064x}"}
            changed = {key: {name: cells[name] for name in rows[key]}}
            rows.update(changed)
        table = updated(table, version, changed)
        assert_that(table, Equals(build(version, rows).table))
