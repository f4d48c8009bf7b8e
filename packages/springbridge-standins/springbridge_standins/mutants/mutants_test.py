"""Every mutant changes its module: the text that it replaces occurs there exactly once."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_standins.mutants.mutants import ALL_MUTANTS, ROOT


@pytest.mark.parametrize("mutant", ALL_MUTANTS, ids=lambda mutant: mutant.name)
def test_the_text_to_replace_occurs_once(mutant):
    assert_that((ROOT / mutant.module).read_text().count(mutant.old), Equals(1))
