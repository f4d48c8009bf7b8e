"""Tests of codec.py: the encoding must not change, since nodes of two builds exchange the bytes."""

import zlib

import orjson
import pytest
from springbridge.membership import Member, Phase, SnapshotStatus
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import Overload
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot, PromptPart
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from springbridge_node.gateway.config.endpoint_follower import AgedSnapshot
from springbridge_node.gateway.config.platform_store import ConfigurationDocument
from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.selection_messages import SelectionReply, SelectionRequest

PARTS = (PromptPart("5c1e", 800), PromptPart("91bd", 410))
MEMBER = Member(
    "0a1b2c3d4e",
    "edge-1",
    "10.1.0.4:8229",
    "10.1.0.4:8227",
    "perth-a",
    heartbeat=7,
    phase=Phase.LEAVING,
    config_version=42,
    confirmed_ago_s=0.1234,
    endpoint_snapshot=SnapshotStatus(987654, 1.5678),
)
STARTED = LoadNotice(LoadPhase.STARTED, "0a/1", "e1", 1210, PARTS, 800)
READ = LoadNotice(LoadPhase.READ, "0a/1", "e1")
GONE = LoadNotice(LoadPhase.GONE, "", "e1")
GONE_OF_A_START = LoadNotice(LoadPhase.GONE, "", "e1", born_ms=1_760_000_000_123)
DEMAND = Demand("q", "model", "perth-a", 1, 2.5, 1210, PARTS, True)
REQUEST = SelectionRequest(5, "0a/1", ["e1"], ["e2"], DEMAND)
CHOSEN = SelectionReply(5, "e1", "e2", 800, None)
REFUSED = SelectionReply(5, "", "", 0, Overload(1.25, 0.5, 60))

# As encoded by a build older than this module.
STATE_BYTES = b'["0a1b2c3d4e",7,1,42,0.12,987654,1.57]'
MEMBER_BYTES = (
    b'["0a1b2c3d4e",7,1,42,0.12,987654,1.57,"edge-1","10.1.0.4:8229","10.1.0.4:8227","perth-a"]'
)
STARTED_BYTES = b'[0,"0a/1","e1",1210,[["5c1e",800],["91bd",410]],800]'
REQUEST_BYTES = (
    b'[5,"0a/1",["e1"],["e2"],"q","model","perth-a",1,2.5,1210,'
    b'[["5c1e",800],["91bd",410]],true]'
)


@pytest.mark.parametrize(
    ("row", "sent"),
    [
        (codec.state_row(MEMBER), STATE_BYTES),
        (codec.member_row(MEMBER), MEMBER_BYTES),
        (codec.notice_row(STARTED), STARTED_BYTES),
        (codec.notice_row(READ), b'[1,"0a/1","e1"]'),
        (codec.notice_row(GONE), b'[4,"","e1"]'),
        (codec.notice_row(GONE_OF_A_START), b'[4,"1760000000123","e1"]'),
        (codec.request_row(REQUEST), REQUEST_BYTES),
        (codec.reply_row(CHOSEN), b'[5,"e1","e2",800,null]'),
        (codec.reply_row(REFUSED), b'[5,"","",0,[1.25,0.5,60]]'),
    ],
)
def test_rows_are_the_bytes_that_an_older_build_sends(row, sent):
    assert_that(orjson.dumps(row), Equals(sent))


@pytest.mark.parametrize(
    ("read", "sent", "record"),
    [
        (codec.read_notice, STARTED_BYTES, STARTED),
        (codec.read_notice, b'[1,"0a/1","e1"]', READ),
        (codec.read_notice, b'[4,"","e1"]', GONE),
        (codec.read_notice, b'[4,"1760000000123","e1"]', GONE_OF_A_START),
        (codec.read_request, REQUEST_BYTES, REQUEST),
        (codec.read_reply, b'[5,"e1","e2",800,null]', CHOSEN),
        (codec.read_reply, b'[5,"","",0,[1.25,0.5,60]]', REFUSED),
    ],
)
def test_rows_of_an_older_build_are_read(read, sent, record):
    assert_that(read(orjson.loads(sent)), Equals(record))


def test_a_whole_row_needs_no_earlier_knowledge_of_the_member():
    member = codec.read_member(orjson.loads(MEMBER_BYTES), lambda incarnation: None)
    assert_that(member.caller_address, Equals(MEMBER.caller_address))
    assert_that(member.phase, Is(Phase.LEAVING))
    assert_that(member.endpoint_snapshot, Equals(SnapshotStatus(987654, 1.57)))


def test_a_state_row_changes_a_known_member_and_says_nothing_of_another():
    row = orjson.loads(STATE_BYTES)
    known = Member("0a1b2c3d4e", "edge-1", "10.1.0.4:8229", "10.1.0.4:8227", "perth-a")
    updated = codec.read_member(row, {known.incarnation: known}.get)
    assert_that((updated.heartbeat, updated.config_version), Equals((7, 42)))
    assert_that(updated.instance, Equals("edge-1"))
    assert_that(codec.read_member(row, {}.get), Is(None))


def test_a_configuration_travels_as_it_was_written():
    document = ConfigurationDocument(7, b'{"version":7}')
    body = codec.configuration_body(document)
    expected = b'{"version":7,"document":"eyJ2ZXJzaW9uIjo3fQ=="}'
    assert_that(zlib.decompress(body), Equals(expected))
    assert_that(codec.read_configuration(codec.decompress(body)), Equals(document))


def test_a_list_of_endpoints_travels_with_its_age():
    entry = EndpointEntry("e1", "model", "10.9.0.1:80", "perth-a", 64, True)
    aged = AgedSnapshot(EndpointSnapshot(9, (entry,)), 0.5)
    body = codec.snapshot_body(aged)
    expected = (
        b'{"revision":9,"age_s":0.5,"entries":[["e1","model","10.9.0.1:80","perth-a",64,true]]}'
    )
    assert_that(zlib.decompress(body), Equals(expected))
    assert_that(codec.read_snapshot(codec.decompress(body)), Equals(aged))


def test_the_versions_of_endpoints_travel_beside_rows_that_older_builds_read():
    entry = EndpointEntry("e1", "model", "10.9.0.1:80", "perth-a", 64, True, version="v1.1 ü")
    aged = AgedSnapshot(EndpointSnapshot(9, (entry,)), 0.5)
    body = codec.decompress(codec.snapshot_body(aged))
    assert_that([len(row) for row in body["entries"]], Equals([6]))
    assert_that(codec.read_snapshot(body), Equals(aged))


def test_the_starts_of_endpoints_travel_beside_rows_that_older_builds_read():
    entry = EndpointEntry("e1", "model", "10.9.0.1:80", "perth-a", 64, True, 1_760_000_000_123)
    aged = AgedSnapshot(EndpointSnapshot(9, (entry,)), 0.5)
    body = codec.decompress(codec.snapshot_body(aged))
    assert_that([len(row) for row in body["entries"]], Equals([6]))
    assert_that(codec.read_snapshot(body), Equals(aged))
