"""Tests of origin_rows.py: the encoding must not change, since nodes of two builds exchange it."""

import orjson
import pytest
from springbridge.routing.seen_versions import SeenReport
from springbridge.routing.stream_origins import AMBIGUOUS, StreamOrigin
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.peers import origin_rows
from springbridge_node.gateway.peers.origin_rows import OriginReply, OriginRequest

KEY = "mbY8dKDm5RkSpeLvqTRqcQ"
ORIGIN = StreamOrigin("v1.1 \u00fc", "i-9f3a")
SEEN = SeenReport(frozenset({"v1"}), 12.5)


@pytest.mark.parametrize(
    ("origin", "sent"),
    [
        (ORIGIN, '["mbY8dKDm5RkSpeLvqTRqcQ","v1.1 \u00fc","i-9f3a"]'),
        (AMBIGUOUS, '["mbY8dKDm5RkSpeLvqTRqcQ",null,""]'),
    ],
)
def test_an_origin_travels_as_before(origin, sent):
    assert_that(orjson.dumps(origin_rows.began_row(KEY, origin)), Equals(sent.encode()))
    assert_that(origin_rows.read_began(orjson.loads(sent)), Equals((KEY, origin)))


def test_a_question_travels_as_before():
    request, sent = OriginRequest(7, KEY, "model", 6.0), f'[7,"{KEY}","model",6.0]'
    assert_that(orjson.dumps(origin_rows.request_row(request)), Equals(sent.encode()))
    assert_that(origin_rows.read_request(orjson.loads(sent)), Equals(request))


@pytest.mark.parametrize(
    ("origin", "sent"),
    [
        (None, '[7,[],["v1"],12.5]'),
        (StreamOrigin("v1", "e1"), '[7,["v1","e1"],["v1"],12.5]'),
        (AMBIGUOUS, '[7,[null,""],["v1"],12.5]'),
    ],
)
def test_a_reply_travels_as_before(origin, sent):
    reply = OriginReply(7, origin, SEEN)
    assert_that(orjson.dumps(origin_rows.reply_row(reply)), Equals(sent.encode()))
    assert_that(origin_rows.read_reply(orjson.loads(sent)), Equals(reply))


# Guards against a later build's further field that makes a message unreadable.
def test_fields_of_later_builds_are_ignored():
    assert_that(
        origin_rows.read_began([KEY, "v1", "e1", 1]), Equals((KEY, StreamOrigin("v1", "e1")))
    )
    assert_that(origin_rows.read_request([7, KEY, "model", 6.0, 1]).key, Equals(KEY))
    assert_that(origin_rows.read_reply([7, [], ["v1"], 12.5, 1]).seen, Equals(SEEN))
