"""Runs capacity from the command line."""

import typer

from springbridge_standins.capacity.capacity import main

typer.run(main)
