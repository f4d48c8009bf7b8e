"""Runs the gateway's soak from the command line."""

import typer

from springbridge_standins.gateway.soak.soak import main

typer.run(main)
