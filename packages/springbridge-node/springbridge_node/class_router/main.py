"""Command line of a node: ``springbridge serve``."""

import asyncio
from typing import Annotated

import typer
from springbridge import __version__

from springbridge_node.class_router.serve_settings import POLICIES, Settings, check

app = typer.Typer(
    help="Node of springbridge, a router for language-model requests.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

PREFIX = "SPRINGBRIDGE_"


def option(name: str, text: str) -> typer.models.OptionInfo:
    """Return an option that can be set by flag and by environment variable."""
    variable = PREFIX + name.upper().replace("-", "_")
    return typer.Option(f"--{name}", envvar=variable, help=text)


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
    """Node of springbridge, a router for language-model requests."""


@app.command()
def serve(
    instance: Annotated[str, option("instance", "Name of this instance.")],
    failure_domain: Annotated[
        str, option("place", "Failure domain in which this instance stands.")
    ],
    caller_address: Annotated[
        str, option("caller-address", "IP number:port for callers and operators.")
    ],
    peer_address: Annotated[str, option("peer-address", "IP number:port for other nodes.")],
    table_address: Annotated[
        str, option("table-address", "IP number:port of the platform's table service.")
    ],
    list_address: Annotated[
        str, option("list-address", "IP number:port of the platform's list of instances.")
    ],
    peer_token: Annotated[
        str, option("peer-token", "Secret that all nodes share, 16 characters or more.")
    ],
    operator_token: Annotated[
        str, option("operator-token", "Secret of the operators, 16 characters or more.")
    ],
    statsd_address: Annotated[
        str, option("statsd-address", "IP number:port for metrics over UDP; empty for none.")
    ] = "",
    policy: Annotated[
        str, option("policy", "How engines are chosen: " + ", ".join(POLICIES) + ".")
    ] = "springbridge",
    max_body_bytes: Annotated[
        int, option("max-body-bytes", "Largest request body, in bytes.")
    ] = 4_000_000,
    body_timeout_s: Annotated[
        float, option("body-timeout-s", "Time for a sender to finish its body, in seconds.")
    ] = 10.0,
    keep_addresses_s: Annotated[
        float,
        option("keep-addresses-s", "How long callers may keep an address answer, in seconds."),
    ] = 2.0,
    abort_on_violation: Annotated[
        bool, option("abort-on-violation", "Stop at a violated invariant, for test runs.")
    ] = False,
) -> None:
    """Run a node until it is told to stop (SIGTERM), then finish what runs and exit 0."""
    settings = Settings(**locals())
    problems = check(settings)
    for problem in problems:
        typer.echo(f"{int(problem.code)} {problem.code.name}: {problem.sentence()}", err=True)
    if problems:
        raise typer.Exit(2)
    asyncio.run(_run(settings))


async def _run(settings: Settings) -> None:
    """Run a node; it is imported here so that --help and --version stay quick."""
    from springbridge_node.class_router.assembly import make_node

    await make_node(settings).run()
