"""Settings of ``springbridge serve``, checked before the node starts."""

import re
from dataclasses import dataclass
from enum import StrEnum

from springbridge.classes.table.rows import NAME
from springbridge.codes import Code
from springbridge.problems import Problem

ADDRESS = re.compile(r"\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})\Z")
# Minimum length of a secret: too long to be guessed over the network.
MIN_TOKEN_CHARS = 16
# Minimum of the setting max_body_bytes.
MIN_BODY_LIMIT_BYTES = 1024


class Policy(StrEnum):
    """How endpoints are chosen: by their schedulers, or by one of two baselines for comparison."""

    SPRINGBRIDGE = "springbridge"
    ROUND_ROBIN = "round-robin"
    LEAST_LOAD = "least-load"


POLICIES = tuple(Policy)


@dataclass(frozen=True)
class Settings:
    """Settings of a node, one for each option; docs/SETTINGS.md has the list."""

    instance: str
    failure_domain: str
    caller_address: str
    peer_address: str
    table_address: str
    list_address: str
    peer_token: str
    operator_token: str
    statsd_address: str
    policy: str
    max_body_bytes: int
    body_timeout_s: float
    keep_addresses_s: float
    abort_on_violation: bool


def check(settings: Settings) -> list[Problem]:
    """Return a problem for each invalid setting."""
    problems = []

    def require(holds: bool, name: str, wanted: str) -> None:
        if not holds:
            problems.append(Problem(Code.SETTING_INVALID, f"takes {wanted}", f"--{name}"))

    names = {"instance": settings.instance, "place": settings.failure_domain}
    for name, value in names.items():
        require(bool(NAME.match(value)), name, "letters, digits, dot, dash")
    for name in ("caller_address", "peer_address", "table_address", "list_address"):
        require(_is_address(getattr(settings, name)), name.replace("_", "-"), "IP number:port")
    if settings.statsd_address:
        require(_is_address(settings.statsd_address), "statsd-address", "IP number:port")
    for name in ("peer_token", "operator_token"):
        long_enough = len(getattr(settings, name)) >= MIN_TOKEN_CHARS
        require(long_enough, name.replace("_", "-"), f"{MIN_TOKEN_CHARS} characters or more")
    require(settings.policy in POLICIES, "policy", "one of " + ", ".join(POLICIES))
    fits = settings.max_body_bytes >= MIN_BODY_LIMIT_BYTES
    require(fits, "max-body-bytes", f"{MIN_BODY_LIMIT_BYTES} or more")
    require(settings.body_timeout_s > 0, "body-timeout-s", "a number above zero")
    require(settings.keep_addresses_s > 0, "keep-addresses-s", "a number above zero")
    return problems


def _is_address(text: str) -> bool:
    """Return whether a text is an IP number and a port."""
    match = ADDRESS.match(text)
    return match is not None and 0 < int(match[1]) < 65536


def split(address: str) -> tuple[str, int]:
    """Return the IP number and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
