"""Measures how the cost of the library's decisions grows with the size of a fleet."""
