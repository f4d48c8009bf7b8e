"""The table that rows make up, built whole or kept up to date row by row."""

from collections.abc import Mapping
from dataclasses import replace

from returns.result import Failure, Success

from springbridge.classes.entities import Customer, Endpoint, RequestClass, Share, Table
from springbridge.classes.table.rows import Cells, Record, parse
from springbridge.problems import Problem


def build(version: int, rows: Mapping[str, Cells]) -> tuple[Table, list[Problem]]:
    """Return the table that rows make up, and a problem for each row that had to be left out."""
    table = Table(version)
    problems: list[Problem] = []
    for key, cells in rows.items():
        match parse(key, cells):
            case Success(record):
                _put(table, record)
            case Failure(problem):
                problems.append(problem)
    return index_keys(table), problems


def _put(table: Table, record: Record) -> None:
    """Add a record to a table that is still being built."""
    match record:
        case RequestClass():
            table.classes[record.name] = record
        case Customer():
            table.customers[record.name] = record
        case Share():
            table.shares[record.customer, record.request_class] = record
        case Endpoint():
            table.endpoints[record.name] = record


def updated(table: Table, version: int, rows: Mapping[str, Cells | None]) -> Table:
    """Return the table after some rows were changed; None stands for a row that was removed.

    The cost is that of the changed rows and of copying the mappings, not of reading all rows.
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
            parse(key, cells).map(lambda record: _put(after, record))
    if any(key.startswith("customer/") for key in rows):
        return index_keys(after)
    return after


def _remove(table: Table, key: str) -> None:
    """Take a row's record out of a table that is being built."""
    kind, *names = key.split("/")
    holders = {
        "class": table.classes,
        "customer": table.customers,
        "share": table.shares,
        "engine": table.endpoints,
    }
    holders[kind].pop(tuple(names) if kind == "share" else names[0], None)


def index_keys(table: Table) -> Table:
    """Return the table with its index from key digest to customer made anew."""
    keys = {
        digest: customer.name
        for customer in table.customers.values()
        for digest in customer.key_hashes
    }
    return replace(table, keys=keys)
