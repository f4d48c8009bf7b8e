"""Tests of service_client.py: which answers of a plain service are whole."""

import asyncio

import pytest
from springbridge.classes.entities import Endpoint, EndpointKind
from springbridge.classes.ports import EndpointError, Job
from springbridge_standins.gateway.engine import EngineStandIn, raw_bytes, unframed
from springbridge_standins.http_wire import Connection, answer, unframed_head
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.class_router.endpoints.endpoint_http import make_client
from springbridge_node.class_router.endpoints.service_client import ServiceClient

JOB = Job("r1", 0, 0, "", b"{}", "/work")


def endpoint_at(address):
    """Return a plain service at an address."""
    return Endpoint("e", EndpointKind.SERVICE, address, "a", "work", 0, False)


def texts_of(script):
    """Return the texts of the chunks that a service's answers give."""

    async def call():
        engine = EngineStandIn("e", script)
        await engine.start()
        client = make_client()
        endpoint = endpoint_at(engine.address)
        try:
            chunks = ServiceClient(client).run(endpoint, JOB)
            return [chunk.text async for chunk in chunks]
        finally:
            client.close()
            engine.stop()

    return asyncio.run(call())


async def with_length(request, connection):
    """Send an answer with a length."""
    await connection.send(answer(request.request_id, b"whole"))


@pytest.mark.parametrize("script", [unframed(b"whole"), with_length])
def test_a_whole_answer_is_one_chunk(script):
    assert_that(texts_of(script), Equals(["whole"]))


# Guards against half an answer as a success: the library takes a reset for the end of a body that
# states no length.
def test_an_answer_without_a_length_that_is_reset_is_an_error():
    half = unframed_head("ID") + b"half"
    with pytest.raises(EndpointError):
        texts_of(raw_bytes(half, then_reset=True))


# Guards against half an answer as a success where its process has ended with it.
def test_an_answer_without_a_length_whose_process_ended_is_an_error():
    engines = []

    async def ends(request, connection):
        await connection.send(unframed_head(request.request_id) + b"half")
        engines[0].stop(Connection.close)

    async def call():
        engine = EngineStandIn("e", ends)
        engines.append(engine)
        await engine.start()
        client = make_client()
        endpoint = endpoint_at(engine.address)
        try:
            return [chunk async for chunk in ServiceClient(client).run(endpoint, JOB)]
        finally:
            client.close()

    with pytest.raises(EndpointError):
        asyncio.run(call())
