"""Tests of codes.py: every code is documented."""

from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from springbridge.codes import INFO, Code, markdown_table

DOCS = Path(__file__).parents[3] / "docs"


def test_every_code_is_explained():
    assert_that(set(INFO), Equals(set(Code)))


def test_docs_hold_the_table_of_codes():
    page = (DOCS / "RESULT_CODES.md").read_text()
    assert_that(page, Contains(markdown_table()))
