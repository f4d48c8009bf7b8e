"""Tests of calls.py: answers of the store or a peer whose heads are broken.

Guards against a part of a table, or of what a peer knows, that is taken for all of it.
"""

import asyncio

import pytest
from springbridge_standins.gateway.broken_heads import BODY, BROKEN_HEADS, STATED_LENGTH, head
from springbridge_standins.gateway.engine import EngineStandIn, raw_bytes
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.http.calls import CallFailedError, HttpClient

# Far beyond what a call takes whose answer shows at once that it is broken.
HANGS_S = 20.0
# What a call fails with; not the time-out.
BROKEN = ("BrokenHeadError", "AnswerBrokenError")


def answer_to(script):
    """Call a program that answers by a script, and return its answer."""

    async def call():
        engine = EngineStandIn("e", script)
        await engine.start()
        client = HttpClient(engine.address)
        try:
            return await client.call("GET", "/rows", timeout_s=HANGS_S)
        finally:
            client.close()
            engine.stop()

    return asyncio.run(call())


# Guards against a broken answer that is taken for one, and against one that is waited for.
@pytest.mark.parametrize("name", BROKEN_HEADS)
def test_a_broken_head_fails_the_call(name):
    with pytest.raises(CallFailedError) as raised:
        answer_to(BROKEN_HEADS[name].script())
    assert_that(str(raised.value).partition(":")[0] in BROKEN, Equals(True))


def test_a_sound_head_gives_the_whole_answer():
    got = answer_to(raw_bytes(head(STATED_LENGTH) + BODY))
    assert_that((got.status, got.body), Equals((200, BODY)))
