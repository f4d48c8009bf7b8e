"""Measurements of what decisions of the library cost as fleets grow."""
