"""Crowds of clients that misbehave, against one node that runs as a process."""
