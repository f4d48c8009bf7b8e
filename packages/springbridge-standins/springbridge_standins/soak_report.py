"""What both soaks print at their end."""

from collections.abc import Mapping

import typer

# Violations that are shown; the first ones tell most.
MAX_LISTED = 20


def print_report(summary: str, violations: list[str], counts: Mapping[str, int]) -> None:
    """Print how many violations there were, the first of them, and what happened how often."""
    typer.echo(f"{summary}: {len(violations)} violations")
    for line in violations[:MAX_LISTED]:
        typer.echo(f"  VIOLATION {line}")
    for name, count in sorted(counts.items()):
        typer.echo(f"  {count:6} {name}")
