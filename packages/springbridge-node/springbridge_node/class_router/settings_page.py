"""Prints the table of docs/SETTINGS.md from the options of the command line."""

import typer

from springbridge_node.class_router.main import app


def settings_table() -> str:
    """Return one line for each setting of ``springbridge serve``."""
    command = typer.main.get_command(app).commands["serve"]
    lines = ["| flag | environment variable | default | meaning |", "| --- | --- | --- | --- |"]
    for option in command.params:
        default = "needed" if option.required else repr(option.default)
        lines.append(f"| `{option.opts[0]}` | `{option.envvar}` | {default} | {option.help} |")
    return "\n".join(lines)


if __name__ == "__main__":
    typer.echo(settings_table())
