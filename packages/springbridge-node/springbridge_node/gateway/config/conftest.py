"""Fixtures of this folder: a clock that tests set."""

import pytest


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        """Return the time."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock that stands still until a test sets it."""
    return Clock()
