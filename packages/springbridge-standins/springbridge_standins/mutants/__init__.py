"""Mutants: a mechanism each, and the test that has to fail without it."""
