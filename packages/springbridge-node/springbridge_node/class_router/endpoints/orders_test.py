"""Tests of orders.py: the result of an order that the endpoint doesn't answer."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from returns.result import Success
from springbridge.classes.entities import Endpoint, EndpointKind
from springbridge.classes.ports import OrderKind, OrderLease
from springbridge.codes import Code
from testtools.assertions import assert_that
from testtools.matchers import Equals
from tornado.httpclient import AsyncHTTPClient

from springbridge_node.class_router.endpoints import model_client
from springbridge_node.class_router.endpoints.model_client import ModelClient
from springbridge_node.class_router.endpoints.orders import Orders


class LeasingStore:
    """A table store that grants every lease."""

    async def take_lease(self, endpoint, holder):
        """Return a lease."""
        return Success(OrderLease(1, 10.0))


async def never_answer(reader, writer):
    """Read the request and leave the connection open without an answer."""
    await reader.read(-1)
    writer.close()


async def close_after_the_request(reader, writer):
    """Read the request and close the connection without an answer."""
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


@asynccontextmanager
async def engine(behaviour):
    """Run an engine with some behaviour and yield it."""
    server = await asyncio.start_server(behaviour, "127.0.0.1", 0)
    try:
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        yield Endpoint("e", EndpointKind.MODEL, address, "a", "model", 1, checks_tokens=True)
    finally:
        server.close()


@pytest.mark.parametrize("behaviour", [never_answer, close_after_the_request])
def test_an_order_without_an_answer_may_have_been_taken(monkeypatch, behaviour):
    # An internal error in its place would tell the operator nothing about the order.
    monkeypatch.setattr(model_client, "SHORT_TIMEOUT_S", 0.2)

    async def body():
        client = ModelClient(AsyncHTTPClient(force_instance=True))
        orders = Orders(LeasingStore(), client, "me", lambda: 0.0)
        async with engine(behaviour) as endpoint:
            return await orders.give(endpoint, OrderKind.LOAD, "weights")

    assert_that(asyncio.run(body()).failure().code, Equals(Code.OUTCOME_UNKNOWN))
