"""Command line for operators: ``springbridgectl``.

Each command is sent to one node, which reads and writes the platform's table. No state is kept
here.
"""

import secrets
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, NoReturn

import orjson
import typer
from returns.result import Failure, Result, Success
from springbridge import __version__
from springbridge.classes.table import sheet
from springbridge.classes.table.changes import Snapshot, difference
from springbridge.classes.table.rows import COLUMNS, Cells
from springbridge.codes import Code
from springbridge.problems import Problem

from springbridge_ctl import quarantine_commands
from springbridge_ctl.client import Operator

app = typer.Typer(
    help="Operators' command line of springbridge.", no_args_is_help=True, rich_markup_mode=None
)
table = typer.Typer(help="The table of weights and limits.", no_args_is_help=True)
app.add_typer(table, name="table")
app.add_typer(quarantine_commands.app, name="quarantine")

NodeOption = Annotated[
    str, typer.Option("--node", envvar="SPRINGBRIDGECTL_NODE", help="IP number:port of a node.")
]
TokenOption = Annotated[
    str, typer.Option("--token", envvar="SPRINGBRIDGECTL_TOKEN", help="The operators' token.")
]
WhoOption = Annotated[
    str,
    typer.Option("--who", envvar="SPRINGBRIDGECTL_WHO", help="Your name for the audit trail."),
]
ChangeIdOption = Annotated[
    str,
    typer.Option(
        "--change-id", help="Id of the change; repeat it to settle one whose outcome is unknown."
    ),
]


def _show_version(value: bool) -> None:
    if value:
        typer.echo(__version__)
        raise typer.Exit()


@app.callback()
def root(
    version: Annotated[
        bool, typer.Option("--version", callback=_show_version, help="Show the version and exit.")
    ] = False,
) -> None:
    """Operators' command line of springbridge."""


def fail(problems: list[Problem]) -> NoReturn:
    """Print problems with their codes and exit with status 1."""
    for problem in problems:
        typer.echo(f"{int(problem.code)} {problem.code.name}: {problem.sentence()}", err=True)
    raise typer.Exit(1)


def unwrap(result: Result[Any, list[Problem]]) -> Any:
    """Return the value of a result, or print its problems and exit with status 1."""
    match result:
        case Success(value):
            return value
        case Failure(problems):
            fail(problems)


def read_table(operator: Operator) -> Snapshot:
    """Return the table that is in force at the node."""
    return Snapshot(**unwrap(operator.get("/operator/table")))


@table.command()
def show(node: NodeOption, token: TokenOption) -> None:
    """Print the table as CSV, and its version on standard error."""
    snapshot = read_table(Operator(node, token, ""))
    typer.echo(sheet.export(snapshot.rows), nl=False)
    typer.echo(f"version {snapshot.version}", err=True)


@table.command("export")
def export_file(
    path: Annotated[Path, typer.Argument(help="File to write.")],
    node: NodeOption,
    token: TokenOption,
) -> None:
    """Write the table to a CSV file."""
    snapshot = read_table(Operator(node, token, ""))
    path.write_text(sheet.export(snapshot.rows))
    typer.echo(f"version {snapshot.version}")


@table.command()
def edit(
    row: Annotated[str, typer.Argument(help="Key of the row, such as share/councils/claims.")],
    column: Annotated[str, typer.Argument(help="Column of the cell.")],
    text: Annotated[str, typer.Argument(help="New text of the cell.")],
    node: NodeOption,
    token: TokenOption,
    who: WhoOption,
    change_id: ChangeIdOption = "",
) -> None:
    """Change one cell; an edit of the same row by somebody else is a conflict."""
    operator = Operator(node, token, who)
    snapshot = read_table(operator)
    cells = snapshot.rows.get(row)
    if cells is None:
        fail([Problem(Code.ROW_MALFORMED, "there is no such row", row)])
    if column not in COLUMNS[row.split("/")[0]]:
        fail([Problem(Code.ROW_MALFORMED, f"the row has no column {column}", row)])
    rows = {**snapshot.rows, row: {**cells, column: text}}
    send_edit(operator, snapshot, rows, strict=False, change_id=change_id)


@table.command("import")
def import_file(
    path: Annotated[Path, typer.Argument(help="CSV file with the whole table.")],
    node: NodeOption,
    token: TokenOption,
    who: WhoOption,
    base: Annotated[
        int,
        typer.Option(help="Version that the file is based on; -1 for the one now in force."),
    ] = -1,
    change_id: ChangeIdOption = "",
) -> None:
    """Put a whole CSV table in force in one change, or none of it."""
    rows = unwrap(sheet.load(path.read_text()))
    operator = Operator(node, token, who)
    snapshot = read_table(operator)
    if base not in (-1, snapshot.version):
        detail = f"the table is at version {snapshot.version}, the file is based on {base}"
        fail([Problem(Code.VERSION_CONFLICT, detail, str(path))])
    send_edit(operator, snapshot, rows, strict=True, change_id=change_id)


def send_edit(
    operator: Operator, snapshot: Snapshot, rows: Mapping[str, Cells], strict: bool, change_id: str
) -> None:
    """Send the difference between two tables as one change.

    Args:
      snapshot: The table that the change is based on.
      rows: The rows that the table is to have after the change.
      strict: Whether any change since the snapshot is a conflict, or only one of the same rows.
      change_id: Repeated after an unknown outcome; empty for a new change.
    """
    edits = difference(snapshot, rows)
    if not edits:
        typer.echo(f"nothing to change at version {snapshot.version}")
        return
    change_id = change_id or secrets.token_hex(8)
    request = {
        "change_id": change_id,
        "who": operator.who,
        "base_version": snapshot.version,
        "strict": strict,
        "edits": edits,
    }
    match operator.post("/operator/table", request):
        case Success(answer):
            typer.echo(f"accepted as version {answer['version']} (change {change_id})")
        case Failure(problems):
            typer.echo(f"change {change_id} was not accepted, as far as is known", err=True)
            fail(problems)


@app.command()
def audit(
    node: NodeOption,
    token: TokenOption,
    after: Annotated[int, typer.Option(help="Only changes after this version.")] = 0,
) -> None:
    """Print the audit trail: one line of JSON a change, oldest first."""
    answer = unwrap(Operator(node, token, "").get(f"/operator/audit?after={after}"))
    for change in answer["changes"]:
        sys.stdout.write(orjson.dumps(change).decode() + "\n")


@app.command()
def status(node: NodeOption, token: TokenOption) -> None:
    """Print the node's state as JSON."""
    answer = unwrap(Operator(node, token, "").get("/operator/status"))
    typer.echo(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())


@app.command()
def order(
    endpoint: Annotated[str, typer.Argument(metavar="ENGINE", help="Name of the endpoint.")],
    kind: Annotated[str, typer.Argument(help="load, unload or role.")],
    argument: Annotated[str, typer.Argument(help="The model, adapter or role.")],
    node: NodeOption,
    token: TokenOption,
) -> None:
    """Give an order to an endpoint under a fenced lease."""
    body = {"engine": endpoint, "order": kind, "argument": argument}
    answer = unwrap(Operator(node, token, "").post("/operator/orders", body))
    typer.echo(f"taken under epoch {answer['epoch']}")
