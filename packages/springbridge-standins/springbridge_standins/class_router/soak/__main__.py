"""Runs the class router's soak from the command line."""

import typer

from springbridge_standins.class_router.soak.soak import main

typer.run(main)
