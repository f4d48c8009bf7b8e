"""What the tests of this folder share: a clock that they move."""

import pytest


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        """Return the time."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock at rest."""
    return Clock()
