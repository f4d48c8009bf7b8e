"""Commands for operators on what a node keeps from endpoints because it crashes them."""

from typing import Annotated
from urllib.parse import quote

import typer
from returns.result import Failure, Success

from springbridge_ctl.client import Operator

app = typer.Typer(help="What is kept from endpoints that it crashes.", no_args_is_help=True)

AddressOption = Annotated[
    str,
    typer.Option(
        "--metrics", envvar="SPRINGBRIDGECTL_METRICS", help="Metrics address of a node, IP:port."
    ),
]


@app.command("list")
def show(metrics: AddressOption) -> None:
    """List the requests and the sets of parts of prompts in quarantine."""
    found = _answer(Operator(metrics, "", "").get("/quarantine"))
    for each in found:
        keys = " ".join(each["keys"])
        typer.echo(f"{keys}  crashes {each['crashes']}  trial in {each['trial_due_in_s']:.0f} s")


@app.command()
def release(key: str, metrics: AddressOption) -> None:
    """Clear a request, by its fingerprint, or a part, by its key, of all crashes at all nodes."""
    path = f"/quarantine/release?key={quote(key)}"
    found = _answer(Operator(metrics, "", "").post(path, {}))
    typer.echo("released" if found["released"] else "nothing speaks against it")


def _answer(result):
    """Return the value of a result, or print its problems and exit with status 1."""
    match result:
        case Success(value):
            return value
        case Failure(problems):
            for problem in problems:
                typer.echo(f"{int(problem.code)} {problem.code.name}", err=True)
            raise typer.Exit(1)
