"""Callers of the soak: each keeps its connection, and uses it until the other side ends it.

A caller asks the directory of some node for an address only when it needs a new connection, so
nodes in their planned stop still get requests on old ones.
"""

import asyncio
import contextlib
import time

import orjson

from springbridge_standins.gateway.caller import CallerConnection, ask
from springbridge_standins.gateway.soak.checks import check_answer, check_no_answer
from springbridge_standins.gateway.soak.engine import digest
from springbridge_standins.gateway.soak.state import Asked, Soak

PATHS = ("/safe/x", "/once/x", "/stream/x", "/single/x")
# Prompts that requests share the beginning of; few, so that they meet at engines.
PROMPTS = 6
# Tokens of the shared and of the own part of each prompt.
SHARED_TOKENS, OWN_TOKENS = 800, 250
# Tokens that a caller expects in an answer.
ANSWER_TOKENS = 80
# Longest body, in bytes.
LONGEST_BODY = 400
# Share of requests before which a caller takes a new connection though the old one is good.
RENEWED_SHARE = 0.1
# Longest pause of a caller between requests.
LONGEST_REST_S = 0.05
# Pause where no connection came up.
PAUSE_AFTER_NONE_S = 0.1
# How long a caller waits for a directory before it asks another.
DIRECTORY_S = 0.5


async def call_forever(soak: Soak, number: int) -> None:
    """Send requests one after another as one caller does."""
    connection: CallerConnection | None = None
    count = 0
    try:
        while True:
            count += 1
            if connection is None or soak.rng.random() < RENEWED_SHARE:
                connection = await _renewed(soak, connection)
            if connection is not None:
                await _call(soak, connection, f"c{number}-{count}", count)
            if connection is not None and not connection.may_be_kept:
                connection.close()
                connection = None
            rest_s = soak.rng.random() * LONGEST_REST_S
            await asyncio.sleep(rest_s if connection else PAUSE_AFTER_NONE_S)
    finally:
        if connection is not None:
            connection.close()


async def _call(soak: Soak, connection: CallerConnection, request_id: str, count: int) -> None:
    """Send one request and check what comes of it."""
    path = soak.rng.choice(PATHS)
    body = bytes(soak.rng.randrange(256) for _ in range(soak.rng.randrange(1, LONGEST_BODY)))
    soak.asked[request_id] = Asked(path, digest(body), connection.address, time.monotonic())
    node = soak.node_at(connection.address)
    kills_before = node.kills
    try:
        got = await connection.ask(
            path,
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
    soak.counts[f"{path} {got.status}"] += 1
    if "server-leaving" in got.headers:
        left = (connection.address, got.headers["instance-id"])
        soak.passed_on_s.setdefault(left, time.monotonic())
    check_answer(soak, path, request_id, body, got)


async def _renewed(soak: Soak, old: CallerConnection | None) -> CallerConnection | None:
    """Return a new connection in place of an old one, or None if none came up."""
    if old is not None:
        old.close()
    with contextlib.suppress(OSError):
        return await CallerConnection.open(await _address(soak))
    return None


def _prompt_headers(soak: Soak, path: str, count: int) -> dict[str, str]:
    """Return the headers that describe a prompt, none for plain services."""
    if path not in ("/stream/x", "/single/x"):
        return {}
    shared = soak.rng.randrange(PROMPTS)
    return {
        "Prefix_Hash": f"{shared:x}:{SHARED_TOKENS},{count:x}f:{OWN_TOKENS}",
        "Token_Usage": f"{SHARED_TOKENS + OWN_TOKENS},{ANSWER_TOKENS}",
    }


async def _address(soak: Soak) -> str:
    """Return an address from the directory of some node, or any node's if none answers."""
    for node in soak.rng.sample(soak.nodes, len(soak.nodes)):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(DIRECTORY_S):
                got = await ask(node.directory, "/v1/resolve?name=desk.example&zone=perth-a")
            if got.status == 200:
                return soak.rng.choice(orjson.loads(got.body)["addresses"])
    return soak.rng.choice(soak.nodes).callers
