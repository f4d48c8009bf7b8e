"""Endpoints: this node's connections to them, and the probes of those it cannot reach."""
