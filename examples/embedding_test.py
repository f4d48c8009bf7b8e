"""Runs the embedding example and checks its output."""

import subprocess
import sys
from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Contains

EXAMPLE = Path(__file__).parent / "embedding.py"


def test_example_runs_without_the_daemon():
    out = subprocess.run(
        [sys.executable, str(EXAMPLE)], capture_output=True, text=True, check=True
    ).stdout
    assert_that(out, Contains("granted at once: ['ask-0', 'ask-1', 'ask-2']"))
    assert_that(out, Contains("admitted of 10 at a time: 2"))
