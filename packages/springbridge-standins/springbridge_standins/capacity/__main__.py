"""Command line of the capacity measurements."""

import typer

from springbridge_standins.capacity.capacity import main

typer.run(main)
