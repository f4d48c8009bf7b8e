"""Contract tests of the HTTP interface for callers: bad input, complete answers, planned stop."""

import asyncio
import socket

import orjson
import pytest
from springbridge.codes import INFO, Code
from springbridge_standins.class_router.caller import wait_until
from springbridge_standins.class_router.engine import answer_tag, answer_text
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not
from tornado.httpclient import HTTPRequest

from springbridge_node.class_router.conftest import KEY, address_of, call_of, counters_of

CHAT = "/v1/chat/completions"
HEADERS = {"Authorization": f"Bearer {KEY}", "Springbridge-Class": "item-descriptions"}
BODY = {"messages": [{"role": "user", "content": "hello"}], "max_tokens": 8}

BAD_INPUT = {
    "no key": (CHAT, {"Authorization": ""}, BODY, Code.UNKNOWN_KEY),
    "unknown key": (CHAT, {"Authorization": "Bearer wrong"}, BODY, Code.UNKNOWN_KEY),
    "unknown class": (CHAT, {"Springbridge-Class": "x"}, BODY, Code.UNKNOWN_CLASS),
    "malformed id": (CHAT, {"Springbridge-Request-Id": "a b"}, BODY, Code.REQUEST_ID_MALFORMED),
    "malformed wait": (CHAT, {"Springbridge-Max-Wait-Ms": "soon"}, BODY, Code.HEADER_MALFORMED),
    "malformed yes": (CHAT, {"Springbridge-Repeatable": "y"}, BODY, Code.HEADER_MALFORMED),
    "no json": (CHAT, {}, b"{", Code.BODY_MALFORMED),
    "no messages": (CHAT, {}, {"messages": []}, Code.BODY_MALFORMED),
    "wrong types": (CHAT, {}, {"messages": [{"content": 3}]}, Code.BODY_MALFORMED),
    "a list": (CHAT, {}, [1], Code.BODY_MALFORMED),
    "too large": (CHAT, {}, b"x" * 5_000_000, Code.BODY_TOO_LARGE),
    "unknown path": ("/v1/nothing", {}, BODY, Code.UNKNOWN_PATH),
    "other service": ("/v1/services/none/run", {}, BODY, Code.UNKNOWN_SERVICE),
    "operator without token": ("/operator/table", {}, BODY, Code.OPERATOR_UNKNOWN),
}


async def post(world, path, headers, body):
    """Post to the first node; return status and decoded answer."""
    node = world.nodes["node-1"]
    request = HTTPRequest(
        f"http://{node.caller_address}{path}",
        method="POST",
        headers={**HEADERS, **headers},
        body=body if isinstance(body, bytes) else orjson.dumps(body),
    )
    response = await world.client.fetch(request, raise_error=False)
    return response.code, orjson.loads(response.body)


@pytest.mark.parametrize(("path", "headers", "body", "code"), BAD_INPUT.values(), ids=BAD_INPUT)
def test_bad_input_gets_its_code_and_says_what_to_do(run, shared_world, path, headers, body, code):
    status, answer = run(post(shared_world, path, headers, body))
    error = answer["error"] if "error" in answer else answer["errors"][0]
    assert_that(error["code"], Equals(int(code)))
    assert_that(status, Equals(INFO[code].http_status))
    assert_that(error["message"], Contains(INFO[code].advice))
    assert_that(error["message"], Not(Contains("Traceback")))


def test_whole_answer_without_streaming(run, shared_world):
    status, answer = run(post(shared_world, CHAT, {}, BODY))
    text = answer["choices"][0]["message"]["content"]
    assert_that(status, Equals(200))
    assert_that(text, Equals(answer_text(answer_tag("hello"), 0, 8)))


def test_slow_sender_is_refused(run, world):
    async def scenario():
        host, _, port = world.nodes["node-1"].caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        writer.write(
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\n{head}Content-Length: 99\r\n\r\n{{".encode()
        )
        answer = await asyncio.wait_for(reader.read(), 40.0)
        writer.close()
        assert_that(answer, Contains(b"SENDER_TOO_SLOW"))

    run(scenario())


@pytest.mark.parametrize("garble", ["gap", "foreign", "repeat", "cut"])
@pytest.mark.parametrize("request_class", ["item-descriptions", "claim-answers"])
def test_spoiled_streams_never_make_a_success_that_is_not_whole(
    run, shared_world, garble, request_class
):
    async def scenario():
        endpoints = [cells["address"] for cells in shared_world.endpoints("model").values()]
        for address in endpoints:
            await shared_world.set_faults(address, garble=garble)
        call = call_of(request_class, 24)
        node = shared_world.nodes["node-2"]
        reply = await shared_world.caller.send(node.caller_address, call)
        for address in endpoints:
            await shared_world.set_faults(address, garble="")
        assert_that(reply.code is Code.OK, Is(reply.whole))
        assert_that(reply.fate, Not(Equals("not run")))
        if garble == "repeat":
            assert_that(reply.whole, Is(True))

    run(scenario())


def test_caller_gone_stops_the_engine(run, shared_world):
    async def scenario():
        address = shared_world.nodes["node-1"].caller_address
        host, _, port = address.rpartition(":")
        body = orjson.dumps({**BODY, "max_tokens": 5000, "stream": True})
        head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        sock = socket.create_connection((host, int(port)))
        sock.sendall(
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

        async def active():
            found = [
                await counters_of(shared_world, cells["address"])
                for cells in shared_world.endpoints("model").values()
            ]
            return sum(counters["active"] for counters in found)

        async def runs():
            return await active() > 0

        async def idle():
            return await active() == 0

        assert_that(await wait_until(runs, 20.0), Is(True))
        sock.close()
        assert_that(await wait_until(idle, 20.0), Is(True))

    run(scenario())


def test_planned_stop_cuts_off_nothing(run, world):
    """A stream in progress completes, addresses omit the node, new requests are refused."""

    async def scenario():
        node = world.nodes["node-1"]
        address = await address_of(world, "node-1")
        long = asyncio.ensure_future(
            world.caller.send(address.address, call_of("item-descriptions", 400))
        )
        await asyncio.sleep(0.5)
        stopping = asyncio.ensure_future(world.stop_node(node))

        async def dropped():
            other = world.nodes["node-2"].caller_address
            found = await world.caller.addresses(other, KEY, "claim-answers")
            return address.address not in [one.address for one in found]

        async def refuses():
            reply = await world.caller.send(address.address, call_of("item-descriptions", 8))
            return reply.code is Code.NODE_LEAVING

        assert_that(await wait_until(dropped, 20.0), Is(True))
        assert_that(await wait_until(refuses, 20.0), Is(True))
        assert_that((await long).whole, Is(True))
        assert_that(await stopping, Equals(0))

    run(scenario())


def test_wrong_place_is_refused_unread_with_other_addresses(run, world):
    async def scenario():
        await world.start_node("abroad", "elsewhere")
        node = world.nodes["abroad"]

        async def answers():
            reply = await world.caller.send(node.caller_address, call_of("claim-answers"))
            return reply.code is Code.WRONG_PLACE

        assert_that(await wait_until(answers, 20.0), Is(True))
        other = world.nodes["node-1"].caller_address
        found = await world.caller.addresses(other, KEY, "claim-answers")
        assert_that(node.caller_address in [one.address for one in found], Is(False))

    run(scenario())
