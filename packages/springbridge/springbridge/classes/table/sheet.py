"""Exports the operators' table to CSV and loads it, for editing in a spreadsheet.

Each line is a row; columns that do not belong to the row's kind are empty.
"""

import csv
import io
from collections.abc import Mapping

from returns.result import Failure, Result, Success

from springbridge.classes.table.checks import check_key_owners, check_references
from springbridge.classes.table.rows import COLUMNS, Cells, parse
from springbridge.codes import Code
from springbridge.problems import Problem

KEY_COLUMN = "row"
HEADER = [KEY_COLUMN, *dict.fromkeys(column for names in COLUMNS.values() for column in names)]


def export(rows: Mapping[str, Cells]) -> str:
    """Return the rows as CSV, ordered by kind and key."""
    kinds = list(COLUMNS)
    out = io.StringIO()
    writer = csv.DictWriter(out, HEADER, restval="", lineterminator="\n")
    writer.writeheader()
    for key in sorted(rows, key=lambda key: (kinds.index(key.split("/")[0]), key)):
        writer.writerow({KEY_COLUMN: key, **rows[key]})
    return out.getvalue()


def load(text: str) -> Result[dict[str, Cells], list[Problem]]:
    """Read rows from CSV.

    Returns:
      The rows, or all problems, each with its line as the source. One problem rejects the whole
      sheet.
    """
    reader = csv.DictReader(io.StringIO(text), restkey="")
    if reader.fieldnames is None or list(reader.fieldnames) != HEADER:
        return Failure([Problem(Code.ROW_MALFORMED, "the header must be " + ",".join(HEADER))])
    rows: dict[str, Cells] = {}
    problems: list[Problem] = []
    for line in reader:
        source = f"line {reader.line_num}"
        match _read_line(line):
            case Failure(problem):
                problems.append(problem.with_source(source))
            case Success((key, _)) if key in rows:
                problems.append(Problem(Code.ROW_MALFORMED, "the row stands twice", key))
            case Success((key, cells)):
                rows[key] = cells
    problems += check_references(rows) + check_key_owners(rows)
    return Failure(problems) if problems else Success(rows)


def _read_line(line: Mapping[str, str | None]) -> Result[tuple[str, Cells], Problem]:
    """Return the key and cells of one line."""
    if "" in line or None in line.values():
        return Failure(Problem(Code.ROW_MALFORMED, f"the line needs {len(HEADER)} columns"))
    key = line[KEY_COLUMN].strip()
    columns = COLUMNS.get(key.split("/")[0], ())
    strays = [name for name in HEADER[1:] if line[name].strip() and name not in columns]
    if strays:
        return Failure(Problem(Code.ROW_MALFORMED, "leave empty: " + ", ".join(strays), key))
    cells = {name: line[name].strip() for name in columns}
    return parse(key, cells).map(lambda _: (key, cells))
