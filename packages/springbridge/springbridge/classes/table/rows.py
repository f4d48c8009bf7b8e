"""Parses rows of the operators' table: text cells, as stored, to the records of entities.py.

A row has a key such as ``class/claims`` or ``share/councils/claims`` and cells of plain text. The
operators edit these cells, the audit trail keeps them and the platform's table stores them, so the
names of kinds and columns must not change: ``engine`` is an endpoint, ``place`` a failure domain.
The records of entities.py are made from cells only here.
"""

import math
import re
from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from springbridge.classes.entities import (
    Customer,
    Endpoint,
    EndpointKind,
    RequestClass,
    Share,
    Tier,
)
from springbridge.codes import Code
from springbridge.problems import Problem

# Names of rows, targets and failure domains. Keys, headers and metrics contain them unescaped.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
# A SHA-256 digest in lower-case hex.
DIGEST = re.compile(r"[0-9a-f]{64}\Z")
# An IPv4 address and a port; host names are not resolved.
ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")

COLUMNS: dict[str, tuple[str, ...]] = {
    "class": (
        "tier",
        "target",
        "first_token_ms",
        "between_tokens_ms",
        "max_wait_ms",
        "places",
        "repeatable",
    ),
    "customer": ("places", "key_hashes"),
    "share": ("weight", "rate_per_s", "concurrency"),
    "engine": ("kind", "address", "place", "target", "token_capacity", "checks_tokens"),
}
# Parts of a key of each kind, the kind included.
KEY_PARTS = {"class": 2, "customer": 2, "share": 3, "engine": 2}

Cells = Mapping[str, str]


class CellError(Exception):
    """A cell has no valid value for its column."""

    def __init__(self, column: str, wanted: str):
        super().__init__(f"column {column} takes {wanted}")


def _number(cells: Cells, column: str, low: float, high: float) -> float:
    """Return the number in a cell, which must lie between low and high."""
    try:
        value = float(cells[column])
    except ValueError:
        value = math.nan
    if not low <= value <= high:
        raise CellError(column, f"a number from {low:g} to {high:g}")
    return value


def _whole(cells: Cells, column: str, low: int, high: int) -> int:
    """Return the whole number in a cell, which must lie between low and high."""
    value = _number(cells, column, low, high)
    if value != int(value):
        raise CellError(column, f"a whole number from {low} to {high}")
    return int(value)


def _choice(cells: Cells, column: str, choices: Mapping[str, object]) -> object:
    """Return the value of the keyword in a cell; case is ignored."""
    try:
        return choices[cells[column].strip().lower()]
    except KeyError:
        raise CellError(column, "one of " + ", ".join(choices)) from None


def _words(cells: Cells, column: str, pattern: re.Pattern[str]) -> tuple[str, ...]:
    """Return the words of a cell, each of which must match the pattern."""
    words = tuple(cells[column].split())
    if not all(pattern.match(word) for word in words):
        raise CellError(column, "words separated by spaces, each of the form " + pattern.pattern)
    return words


def _word(cells: Cells, column: str, pattern: re.Pattern[str]) -> str:
    """Return the one word of a cell."""
    words = _words(cells, column, pattern)
    if len(words) != 1:
        raise CellError(column, "one word")
    return words[0]


YES_NO = {"yes": True, "no": False}
TIERS = {tier.name.lower(): tier for tier in Tier}
KINDS = {kind.value: kind for kind in EndpointKind}
# Bounds of cells against typing errors, far beyond the values in use.
LONGEST_MS = 24 * 3600 * 1000
# Lower bound of weights and rates, since both are divisors.
SMALLEST_NUMBER = 0.01
# Upper bound of weights, rates (starts per second) and concurrency, against typing errors.
LARGEST_NUMBER = 10**6
# Upper bound of an endpoint's memory in tokens, against typing errors.
LARGEST_TOKEN_CAPACITY = 10**9


def _class(parts: list[str], cells: Cells) -> RequestClass:
    return RequestClass(
        name=parts[1],
        tier=_choice(cells, "tier", TIERS),
        target=_word(cells, "target", NAME),
        first_token_ms=_whole(cells, "first_token_ms", 1, LONGEST_MS),
        between_tokens_ms=_whole(cells, "between_tokens_ms", 1, LONGEST_MS),
        max_wait_ms=_whole(cells, "max_wait_ms", 1, LONGEST_MS),
        failure_domains=frozenset(_words(cells, "places", NAME)),
        repeatable=_choice(cells, "repeatable", YES_NO),
    )


def _customer(parts: list[str], cells: Cells) -> Customer:
    return Customer(
        name=parts[1],
        failure_domains=frozenset(_words(cells, "places", NAME)),
        key_hashes=_words(cells, "key_hashes", DIGEST),
    )


def _share(parts: list[str], cells: Cells) -> Share:
    return Share(
        customer=parts[1],
        request_class=parts[2],
        weight=_number(cells, "weight", SMALLEST_NUMBER, LARGEST_NUMBER),
        rate_per_s=_number(cells, "rate_per_s", SMALLEST_NUMBER, LARGEST_NUMBER),
        concurrency=_whole(cells, "concurrency", 1, LARGEST_NUMBER),
    )


def _endpoint(parts: list[str], cells: Cells) -> Endpoint:
    return Endpoint(
        name=parts[1],
        kind=_choice(cells, "kind", KINDS),
        address=_word(cells, "address", ADDRESS),
        failure_domain=_word(cells, "place", NAME),
        target=_word(cells, "target", NAME),
        token_capacity=_whole(cells, "token_capacity", 1, LARGEST_TOKEN_CAPACITY),
        checks_tokens=_choice(cells, "checks_tokens", YES_NO),
    )


Record = RequestClass | Customer | Share | Endpoint
PARSERS: dict[str, Callable[[list[str], Cells], Record]] = {
    "class": _class,
    "customer": _customer,
    "share": _share,
    "engine": _endpoint,
}


def parse(key: str, cells: Cells) -> Result[Record, Problem]:
    """Parse a row.

    Args:
      key: The row's key, such as share/councils/claims.
      cells: The text of each column of the row's kind.

    Returns:
      The record, or ROW_MALFORMED with the key as its source.
    """
    problem = key_problem(key)
    if problem is not None:
        return Failure(problem)
    parts = key.split("/")
    kind = parts[0]
    if set(cells) != set(COLUMNS[kind]):
        return _malformed(key, "the row needs exactly the cells " + ", ".join(COLUMNS[kind]))
    try:
        return Success(PARSERS[kind](parts, cells))
    except CellError as exc:
        return _malformed(key, str(exc))


def key_problem(key: str) -> Problem | None:
    """Return ROW_MALFORMED for a key that is not valid, else None."""
    kind, *names = key.split("/")
    if kind not in COLUMNS or len(names) + 1 != KEY_PARTS[kind]:
        detail = "the key must be class/X, customer/X, share/X/Y or engine/X"
        return Problem(Code.ROW_MALFORMED, detail, key)
    if not all(NAME.match(name) for name in names):
        detail = "names take letters, digits, dot, dash and underscore"
        return Problem(Code.ROW_MALFORMED, detail, key)
    return None


def _malformed(key: str, detail: str) -> Failure[Problem]:
    return Failure(Problem(Code.ROW_MALFORMED, detail, key))
