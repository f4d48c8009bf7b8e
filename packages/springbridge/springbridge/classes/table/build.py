"""Builds the operators' table from its rows, or updates it by one change.

A row that cannot be parsed is left out of the table and reported, so that one bad row doesn't make
the others unusable.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import singledispatch

from returns.result import Failure, Success

from springbridge.classes.entities import Customer, Endpoint, RequestClass, Share, Table
from springbridge.classes.table.rows import Cells, Record, parse
from springbridge.problems import Problem


@dataclass(frozen=True)
class BuiltTable:
    """A table, and a Problem for each row that was left out because it cannot be parsed."""

    table: Table
    problems: tuple[Problem, ...]


def build(version: int, rows: Mapping[str, Cells]) -> BuiltTable:
    """Build the table from all rows of a version."""
    table = Table(version)
    problems: list[Problem] = []
    for key, cells in rows.items():
        match parse(key, cells):
            case Success(record):
                _put(record, table)
            case Failure(problem):
                problems.append(problem)
    return BuiltTable(index_keys(table), tuple(problems))


@singledispatch
def _put(record: Record, table: Table) -> None:
    """Add a record to a table that is still being built."""
    raise TypeError(f"unknown record {record!r}")


@_put.register
def _(record: RequestClass, table: Table) -> None:
    table.classes[record.name] = record


@_put.register
def _(record: Customer, table: Table) -> None:
    table.customers[record.name] = record


@_put.register
def _(record: Share, table: Table) -> None:
    table.shares[record.customer, record.request_class] = record


@_put.register
def _(record: Endpoint, table: Table) -> None:
    table.endpoints[record.name] = record


def updated(table: Table, version: int, rows: Mapping[str, Cells | None]) -> Table:
    """Return the table after a change; None stands for a removed row.

    Only the changed rows are parsed; the mappings are copied.
    """
    after = Table(
        version,
        dict(table.classes),
        dict(table.customers),
        dict(table.shares),
        dict(table.endpoints),
        dict(table.keys),
    )
    for key, cells in rows.items():
        _remove(after, key)
        if cells is not None:
            # A malformed row was refused before its change was accepted, so nothing is reported.
            parse(key, cells).map(lambda record: _put(record, after))
    if any(key.startswith("customer/") for key in rows):
        return index_keys(after)
    return after


def _remove(table: Table, key: str) -> None:
    """Remove a row's record from a table that is still being built."""
    kind, *names = key.split("/")
    holders = {
        "class": table.classes,
        "customer": table.customers,
        "share": table.shares,
        "engine": table.endpoints,
    }
    holders[kind].pop(tuple(names) if kind == "share" else names[0], None)


def index_keys(table: Table) -> Table:
    """Return the table with a new index from key digest to customer."""
    keys = {
        digest: customer.name
        for customer in table.customers.values()
        for digest in customer.key_hashes
    }
    return replace(table, keys=keys)
