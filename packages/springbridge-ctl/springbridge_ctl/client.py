"""HTTP client of a node's interface for operators; every failure is returned as a result."""

from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success
from springbridge.codes import Code
from springbridge.problems import Problem
from tornado.httpclient import HTTPClient, HTTPRequest

TOKEN_HEADER = "Springbridge-Operator-Token"
# Timeout for a node's answer. Above the 9.5 s that a node may take to settle a commit whose reply
# was lost (five times 0.3 s pause and two reads of 0.8 s).
TIMEOUT_S = 15.0


@dataclass(frozen=True)
class Operator:
    """Client of one node, with the operator's credentials.

    Attributes:
      node: IP number:port of a node's interface for callers, which serves operators as well.
      token: The secret that all operators share.
      who: Name for the audit trail; empty for commands that change nothing.
    """

    node: str
    token: str
    who: str

    def get(self, path: str) -> Result[Any, list[Problem]]:
        """Return the decoded answer to a query, or NODE_UNREACHABLE, or the node's problems."""
        return self._fetch(path, None)

    def post(self, path: str, body: object) -> Result[Any, list[Problem]]:
        """Return the decoded answer to a command, or NODE_UNREACHABLE, or the node's problems."""
        return self._fetch(path, orjson.dumps(body))

    def _fetch(self, path: str, body: bytes | None) -> Result[Any, list[Problem]]:
        request = HTTPRequest(
            f"http://{self.node}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers={TOKEN_HEADER: self.token},
            request_timeout=TIMEOUT_S,
        )
        client = HTTPClient()
        try:
            response = client.fetch(request, raise_error=False)
            if not response.body:
                raise ConnectionError(str(response.error))
            answer = orjson.loads(response.body)
        except Exception as exc:
            # Any failure to get an answer is the same problem for an operator, who sees its type.
            return Failure([Problem(Code.NODE_UNREACHABLE, type(exc).__name__, self.node)])
        finally:
            client.close()
        if response.code == 200:
            return Success(answer)
        return Failure([_read_problem(raw) for raw in answer["errors"]])


def _read_problem(raw: dict[str, Any]) -> Problem:
    """Return the problem in a node's JSON; its detail is the message without the code's advice."""
    code = Code(raw["code"])
    detail = raw["message"].removesuffix(Problem(code).info.advice).rstrip(": ")
    return Problem(code, detail, "", raw["retry_after_s"])
