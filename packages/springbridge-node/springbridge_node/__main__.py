"""Runs the node's command line: ``python -m springbridge_node``."""

from springbridge_node.main import app

app()
