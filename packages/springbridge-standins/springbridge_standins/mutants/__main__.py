"""Runs the mutation tests from the command line."""

import typer

from springbridge_standins.mutants.mutants import main

typer.run(main)
