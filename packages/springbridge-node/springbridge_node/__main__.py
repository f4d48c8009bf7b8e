"""Runs the node's command line: ``python -m springbridge_node``."""

from springbridge_node.class_router.main import app

app()
