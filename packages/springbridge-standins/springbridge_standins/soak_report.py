"""Prints the result of a soak test: its violations and how often each kind of event happened."""

from collections.abc import Mapping

import typer

# Violations that are printed; the first ones say most about the cause.
MAX_LISTED = 20


def print_report(summary: str, violations: list[str], counts: Mapping[str, int]) -> None:
    """Print the number of violations, the first MAX_LISTED of them, and all counts by name."""
    typer.echo(f"{summary}: {len(violations)} violations")
    for line in violations[:MAX_LISTED]:
        typer.echo(f"  VIOLATION {line}")
    for name, count in sorted(counts.items()):
        typer.echo(f"  {count:6} {name}")
