"""Adapter for plain services, over HTTP: they answer in one piece and can't resume an answer."""

import asyncio
from collections.abc import AsyncIterator

from springbridge.classes.entities import Endpoint
from springbridge.classes.ports import EndpointError, Job
from springbridge.classes.stream import Chunk
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from springbridge_node.class_router.endpoints.endpoint_http import (
    CONNECT_TIMEOUT_S,
    fetch_error,
    lacks_end,
    refuses_connections,
    url_of,
)
from springbridge_node.class_router.requests.progress import SERVICE_STALL_S

ID_HEADER = "Request-Id"


class ServiceClient:
    """Client of a plain service; its complete answer is one chunk."""

    def __init__(self, client: AsyncHTTPClient):
        """Store the HTTP client that all adapters share."""
        self._client = client

    async def run(self, endpoint: Endpoint, job: Job) -> AsyncIterator[Chunk]:
        """Call the service and yield its answer as one chunk."""
        request = HTTPRequest(
            url_of(endpoint, job.path),
            method="POST",
            body=job.body,
            headers={ID_HEADER: job.request_id},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=SERVICE_STALL_S,
        )
        fetch = asyncio.ensure_future(self._client.fetch(request))
        await asyncio.wait([fetch])
        failure = fetch_error(fetch)
        if failure is not None:
            raise failure
        response = fetch.result()
        if lacks_end(response.headers) and await refuses_connections(endpoint):
            raise EndpointError("the process ended with its answer")
        answered = response.headers.get(ID_HEADER, "")
        yield Chunk(answered, 0, 1, response.body.decode(errors="surrogateescape"), True)

    async def resume(
        self, endpoint: Endpoint, request_id: str, offset: int
    ) -> AsyncIterator[Chunk]:
        """Fail: a plain service keeps no answers."""
        raise EndpointError("a plain service keeps no answers")
        yield  # Makes this an asynchronous generator.

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Do nothing: a call to a plain service cannot be cancelled."""
