"""Command line of a node: ``springbridge serve``.

Each option is a flag and an environment variable; docs/SETTINGS.md is written from them.
"""

from typing import Annotated

import typer
from springbridge import __version__

from springbridge_node import clock
from springbridge_node.class_router.serve_settings import POLICIES, Policy, Settings, check

app = typer.Typer(
    help="Node of springbridge, a router for language-model requests.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

PREFIX = "SPRINGBRIDGE_"
# Default of the limit on a request body.
DEFAULT_MAX_BODY_BYTES = 4_000_000
# Default time for a sender to finish its body.
DEFAULT_BODY_TIMEOUT_S = 10.0
# Default time for which callers cache addresses. A planned stop lasts at least this long, and
# callers may use the address of a lost node for up to this long.
DEFAULT_KEEP_ADDRESSES_S = 2.0


def option(name: str, text: str) -> typer.models.OptionInfo:
    """Return an option that can be set by flag and by environment variable."""
    variable = PREFIX + name.upper().replace("-", "_")
    return typer.Option(f"--{name}", envvar=variable, help=text)


INSTANCE = option("instance", "Name of this instance.")
FAILURE_DOMAIN = option("place", "Failure domain in which this instance stands.")
CALLER_ADDRESS = option("caller-address", "IP number:port for callers and operators.")
PEER_ADDRESS = option("peer-address", "IP number:port for other nodes.")
TABLE_ADDRESS = option("table-address", "IP number:port of the platform's table service.")
LIST_ADDRESS = option("list-address", "IP number:port of the platform's list of instances.")
PEER_TOKEN = option("peer-token", "Secret that all nodes share, 16 characters or more.")
OPERATOR_TOKEN = option("operator-token", "Secret of the operators, 16 characters or more.")
STATSD_ADDRESS = option("statsd-address", "IP number:port for metrics over UDP; empty for none.")
POLICY = option("policy", "How engines are chosen: " + ", ".join(POLICIES) + ".")
MAX_BODY_BYTES = option("max-body-bytes", "Largest request body, in bytes.")
BODY_TIMEOUT_S = option("body-timeout-s", "Time for a sender to finish its body, in seconds.")
KEEP_ADDRESSES_S = option(
    "keep-addresses-s", "How long callers may keep an address answer, in seconds."
)
ABORT_ON_VIOLATION = option("abort-on-violation", "Stop at a violated invariant, for test runs.")


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
    instance: Annotated[str, INSTANCE],
    failure_domain: Annotated[str, FAILURE_DOMAIN],
    caller_address: Annotated[str, CALLER_ADDRESS],
    peer_address: Annotated[str, PEER_ADDRESS],
    table_address: Annotated[str, TABLE_ADDRESS],
    list_address: Annotated[str, LIST_ADDRESS],
    peer_token: Annotated[str, PEER_TOKEN],
    operator_token: Annotated[str, OPERATOR_TOKEN],
    statsd_address: Annotated[str, STATSD_ADDRESS] = "",
    policy: Annotated[str, POLICY] = Policy.SPRINGBRIDGE.value,
    max_body_bytes: Annotated[int, MAX_BODY_BYTES] = DEFAULT_MAX_BODY_BYTES,
    body_timeout_s: Annotated[float, BODY_TIMEOUT_S] = DEFAULT_BODY_TIMEOUT_S,
    keep_addresses_s: Annotated[float, KEEP_ADDRESSES_S] = DEFAULT_KEEP_ADDRESSES_S,
    abort_on_violation: Annotated[bool, ABORT_ON_VIOLATION] = False,
) -> None:
    """Run a node until it is told to stop (SIGTERM), then finish what runs and exit 0."""
    settings = Settings(**locals())
    problems = check(settings)
    for problem in problems:
        typer.echo(f"{int(problem.code)} {problem.code.name}: {problem.sentence()}", err=True)
    if problems:
        raise typer.Exit(2)
    clock.run(_run(settings))


async def _run(settings: Settings) -> None:
    """Run a node; the import is local so that --help and --version stay fast."""
    from springbridge_node.class_router.assembly import make_node

    await make_node(settings).run()
