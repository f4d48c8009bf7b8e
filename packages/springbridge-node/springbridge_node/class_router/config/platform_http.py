"""HTTP calls to the platform's services; every failure is returned as a result."""

from typing import Any

import orjson
from returns.result import Failure, Result, Success
from springbridge.codes import Code
from springbridge.problems import Problem
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

# Timeout of a read. It is below the 1 s between two reads of the version, so that an unresponsive
# service is noticed within the 3 s for which a confirmation is fresh.
READ_TIMEOUT_S = 0.8
# Retry-After while the table service is unavailable: two of the node's poll intervals.
RETRY_AFTER_S = 2.0


async def fetch_json(
    client: AsyncHTTPClient, url: str, body: bytes | None, timeout_s: float
) -> Result[Any, Problem]:
    """Return the decoded JSON of an answer, or TABLE_UNAVAILABLE for any failure."""
    request = HTTPRequest(
        url,
        method="GET" if body is None else "POST",
        body=body,
        connect_timeout=timeout_s,
        request_timeout=timeout_s,
    )
    try:
        response = await client.fetch(request)
        return Success(orjson.loads(response.body))
    except Exception as exc:
        detail = f"the platform did not answer: {type(exc).__name__}"
        return Failure(Problem(Code.TABLE_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S))
