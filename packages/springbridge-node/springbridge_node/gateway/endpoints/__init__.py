"""Endpoints: the connections of this instance to them, and probes of unreachable ones."""
