"""Unforeseen exceptions on the way of a request: what is logged, and what may go on after one.

A request goes on where only a record of it failed. Else it ends with the answer that
`giving_up.when_fault_met` finds, by how far it got.
"""

import contextlib
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from springbridge_node import logs
from springbridge_node.gateway.requests.exchange import Exchange
from springbridge_node.gateway.requests.stage import Stage


def log_fault(exchange: Exchange, exc: Exception, stage: Stage | None = None) -> None:
    """Log an unforeseen exception with the request's id, the stage and the endpoint.

    Args:
      stage: What met it; None for the stage that the request is in.
    """
    logs.fault(
        exc,
        (stage or exchange.progress.stage).value,
        request_id=exchange.request_id,
        engine=exchange.progress.endpoint_id,
    )


@contextlib.contextmanager
def recording(exchange: Exchange) -> Iterator[None]:
    """Run a block that only records something of a request; an exception in it is logged."""
    try:
        yield
    except Exception as exc:
        log_fault(exchange, exc, Stage.RECORD)


def recorder(exchange: Exchange, record: Callable[..., None], *args: Any) -> Callable[..., None]:
    """Return a function that records something of a request, as in `recording`.

    Args:
      record: Called with args and with the arguments of each call.
    """

    def call(*more: Any) -> None:
        with recording(exchange):
            partial(record, *args)(*more)

    return call
