"""Every mutant takes something out: the text that it replaces stands once in its module."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_standins.mutants.mutants import ALL, ROOT


@pytest.mark.parametrize("mutant", ALL, ids=lambda mutant: mutant.name)
def test_the_text_to_replace_stands_once(mutant):
    assert_that((ROOT / mutant.module).read_text().count(mutant.old), Equals(1))
