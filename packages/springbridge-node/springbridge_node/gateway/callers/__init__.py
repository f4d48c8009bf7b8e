"""Callers: how their requests arrive, what answer they get, and which nodes they should use."""
