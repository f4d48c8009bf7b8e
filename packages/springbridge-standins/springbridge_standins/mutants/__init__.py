"""Mutation tests: each mutant removes one mechanism, and a named test has to fail without it."""
