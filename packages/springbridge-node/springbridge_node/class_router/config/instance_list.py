"""Adapter for the platform's list of instances, over HTTP."""

from returns.result import Result
from springbridge.classes.ports import Listed
from springbridge.problems import Problem
from tornado.httpclient import AsyncHTTPClient

from springbridge_node.class_router.config.platform_http import READ_TIMEOUT_S, fetch_json


class HttpInstanceList:
    """The platform's list of instances, which lags."""

    def __init__(self, address: str, client: AsyncHTTPClient):
        """Store the client and the list's address, IP number:port."""
        self._url = f"http://{address}/instances"
        self._client = client

    async def instances(self) -> Result[list[Listed], Problem]:
        """Return the listed instances."""
        read = await fetch_json(self._client, self._url, None, READ_TIMEOUT_S)
        return read.map(lambda found: [Listed(**entry) for entry in found["instances"]])
