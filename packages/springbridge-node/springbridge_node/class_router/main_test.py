"""Tests of the command line, the settings and the pages that describe them."""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength
from typer.testing import CliRunner

from springbridge_node.class_router.main import app
from springbridge_node.class_router.serve_settings import Settings, check
from springbridge_node.class_router.settings_page import settings_table

DOCS = Path(__file__).parents[4] / "docs"

GOOD = Settings(
    instance="node-1",
    failure_domain="perth-a",
    caller_address="127.0.0.1:8000",
    peer_address="127.0.0.1:8001",
    table_address="127.0.0.1:8002",
    list_address="127.0.0.1:8002",
    peer_token="a-long-enough-token",
    operator_token="another-long-enough-token",
    statsd_address="",
    policy="springbridge",
    max_body_bytes=4_000_000,
    body_timeout_s=10.0,
    keep_addresses_s=2.0,
    abort_on_violation=False,
)

BAD = {
    "instance": "node 1",
    "failure_domain": "",
    "caller_address": "localhost:8000",
    "peer_address": "127.0.0.1:99999",
    "table_address": "127.0.0.1",
    "list_address": "x",
    "peer_token": "short",
    "operator_token": "short",
    "statsd_address": "metrics:8125",
    "policy": "random",
    "max_body_bytes": 10,
    "body_timeout_s": 0.0,
    "keep_addresses_s": -1.0,
}

# Settings whose flag has an older name than their field.
OLDER_FLAGS = {"failure_domain": "--place"}


def flag_of(name):
    return OLDER_FLAGS.get(name, "--" + name.replace("_", "-"))


def test_good_settings_pass():
    assert_that(check(GOOD), Equals([]))


@pytest.mark.parametrize(("name", "value"), BAD.items())
def test_bad_setting_is_named(name, value):
    problems = check(Settings(**{**GOOD.__dict__, name: value}))
    assert_that(problems, HasLength(1))
    assert_that(problems[0].source, Equals(flag_of(name)))


def test_all_bad_settings_are_reported_at_once():
    flags = [f"{flag_of(name)}={value}" for name, value in BAD.items()]
    result = CliRunner().invoke(app, ["serve", *flags])
    assert_that(result.exit_code, Equals(2))
    assert_that(result.output.count("601 SETTING_INVALID"), Equals(len(BAD)))


def test_version():
    assert_that(CliRunner().invoke(app, ["--version"]).output.strip(), Equals("0.1.0"))


def test_page_of_settings_equals_the_command_line():
    assert_that((DOCS / "SETTINGS.md").read_text(), Contains(settings_table()))
