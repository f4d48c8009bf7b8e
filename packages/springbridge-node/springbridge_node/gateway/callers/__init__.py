"""Callers: their requests as they arrive, and the answers they get."""
