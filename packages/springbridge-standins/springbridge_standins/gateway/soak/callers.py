"""Callers of the soak: each sends requests over a kept-alive connection and checks the answers.

A caller resolves an address from the directory of some node only when it needs a new connection, so
nodes in a planned stop still get requests on existing connections.
"""

import asyncio
import contextlib
import random
import time

import orjson

from springbridge_standins.gateway.caller import OLDER_VERSION, CallerConnection, ask
from springbridge_standins.gateway.soak.checks import PATHS, check_answer, check_no_answer
from springbridge_standins.gateway.soak.engine import digest
from springbridge_standins.gateway.soak.state import SentRequest, Soak

# Number of shared prompt prefixes; few, so that several requests with one reach the same engine.
SHARED_PREFIXES = 6
# Tokens of the shared prefix and of the rest of each prompt.
SHARED_TOKENS, SUFFIX_TOKENS = 800, 250
# Expected tokens of an answer, as sent in the header.
ANSWER_TOKENS = 80
# Bound on the length of a body.
MAX_BODY_BYTES = 400
# Share of requests that ask as HTTP/1.0 does, whose answers may end with their connection.
OLDER_CALLER_SHARE = 0.15
# Share of requests for which a caller opens a new connection though the old one is usable.
RECONNECT_SHARE = 0.1
# Longest pause of a caller between two requests.
MAX_PAUSE_S = 0.05
# Pause after a failed attempt to connect.
RECONNECT_PAUSE_S = 0.1
# Time after which a caller tries the directory of another node.
DIRECTORY_TIMEOUT_S = 0.5


async def call_forever(soak: Soak, number: int, older: random.Random) -> None:
    """Send requests one after another, as one caller, until cancelled.

    Args:
      older: Draws which of them are of HTTP/1.0.
    """
    connection: CallerConnection | None = None
    count = 0
    try:
        while True:
            count += 1
            if connection is None or soak.rng.random() < RECONNECT_SHARE:
                connection = await _reconnect(soak, connection)
            if connection is not None:
                await _call(soak, connection, f"c{number}-{count}", count, older)
            if connection is not None and not connection.may_be_kept:
                connection.close()
                connection = None
            pause_s = soak.rng.random() * MAX_PAUSE_S
            await asyncio.sleep(pause_s if connection else RECONNECT_PAUSE_S)
    finally:
        if connection is not None:
            connection.close()


async def _call(
    soak: Soak, connection: CallerConnection, request_id: str, count: int, older: random.Random
) -> None:
    """Send one request and check its answer.

    Args:
      older: Draws whether it is one of HTTP/1.0.
    """
    path = soak.rng.choice(PATHS)
    body = bytes(soak.rng.randrange(256) for _ in range(soak.rng.randrange(1, MAX_BODY_BYTES)))
    soak.sent[request_id] = SentRequest(path, digest(body), connection.address, time.monotonic())
    node = soak.node_at(connection.address)
    version = OLDER_VERSION if older.random() < OLDER_CALLER_SHARE else "HTTP/1.1"
    kills_before = node.kills
    try:
        response = await connection.ask(
            path,
            version,
            method="POST",
            body=body,
            Request_Id=request_id,
            Tenant="forged",
            **_prompt_headers(soak, path, count),
        )
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as exc:
        soak.counts[f"{path} no answer"] += 1
        check_no_answer(soak, path, request_id, node.kills > kills_before, exc)
        return
    soak.answered_s[request_id] = time.monotonic()
    soak.counts[f"{path} {response.status}"] += 1
    if "server-leaving" in response.headers:
        leaving_run = (connection.address, response.headers["instance-id"])
        soak.leaving_relayed_s.setdefault(leaving_run, time.monotonic())
        run = response.headers["instance-id"]
        soak.stamp("leaving relayed", run=run, node=node.name, request_id=request_id)
    check_answer(soak, path, request_id, body, response)


async def _reconnect(soak: Soak, old: CallerConnection | None) -> CallerConnection | None:
    """Close a connection and return a new one; None if connecting failed."""
    if old is not None:
        old.close()
    with contextlib.suppress(OSError):
        return await CallerConnection.open(await _address(soak))
    return None


def _prompt_headers(soak: Soak, path: str, count: int) -> dict[str, str]:
    """Return the headers that describe a prompt; none for plain services."""
    if path not in ("/stream/x", "/single/x"):
        return {}
    shared = soak.rng.randrange(SHARED_PREFIXES)
    return {
        "Prefix_Hash": f"{shared:x}:{SHARED_TOKENS},{count:x}f:{SUFFIX_TOKENS}",
        "Token_Usage": f"{SHARED_TOKENS + SUFFIX_TOKENS},{ANSWER_TOKENS}",
    }


async def _address(soak: Soak) -> str:
    """Return an address from a node's directory; that of a random node if none answers."""
    for node in soak.rng.sample(soak.nodes, len(soak.nodes)):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
                response = await ask(node.directory, "/v1/resolve?name=desk.example&zone=perth-a")
            if response.status == 200:
                return soak.rng.choice(orjson.loads(response.body)["addresses"])
    return soak.rng.choice(soak.nodes).caller_address
