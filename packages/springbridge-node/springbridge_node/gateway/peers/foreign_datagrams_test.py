"""Fuzz tests of datagram handling: malformed rows must not corrupt what a node knows already."""

import random

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from springbridge.membership import Member, Membership
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge_standins.gateway.simulated_fleet import SimulatedClock
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from springbridge_node import logs
from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.gossip import Gossip
from springbridge_node.gateway.peers.origin_sharing import OriginSharing
from springbridge_node.gateway.peers.peer_builds import FIRST_HEARTBEAT
from springbridge_node.gateway.requests.place_gate import PlaceGate
from springbridge_node.gateway.requests.rate_parts import RateParts
from springbridge_node.gateway.requests.selection_parts import SelectionParts
from springbridge_node.gateway.telemetry import Telemetry

# Number of random datagrams; they take a few seconds.
DRAWN = 400
FROM = ("10.0.0.9", 7000)

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**62), 2**62)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=12)
    | st.sampled_from(["peer", "me", "e1", FIRST_HEARTBEAT + 9]),
    lambda inner: st.lists(inner, max_size=12),
    max_leaves=30,
)
MEMBER_ROWS = [
    codec.member_row(Member(name, name, f"{name}:1", f"{name}:2", "a", FIRST_HEARTBEAT + 5))
    for name in ("peer", "other")
]
STATE_ROW = codec.state_row(Member("peer", "peer", "", "", "a", FIRST_HEARTBEAT + 5))
NOTICE_ROWS = [
    [0, "other/1", "e1", 900, [["p", 900]], 0],
    [1, "other/1", "e1"],
    [2, "other/1", "e1"],
    [3, "1000", "e1"],
    [4, "", "e1"],
]
REQUEST_ROW = [1, "other/1", [], [], "q", "model", "a", 2, 2.5, 900, [["p", 900]], True]
REPLY_ROW = [1, "e1", "", 0, [1.0, 2.0, 3]]
NO_AGES = ""
BEGAN_ROW = ["key", "v1", "e1"]
RATE_ROW = ["e1", None, 2.5, 0.2, 0.1]
PERMIT_REQUEST_ROW = [1, 2, RATE_ROW]
PERMIT_REPLY_ROW = [1, 0, 0.5, RATE_ROW]


def nearly(row):
    """Generate rows that differ from a valid one in up to two fields."""
    spoilt = st.dictionaries(st.integers(0, len(row) - 1), json_values, max_size=2)
    return spoilt.map(lambda fields: [fields.get(index, value) for index, value in enumerate(row)])


nearly_members = st.sampled_from([*MEMBER_ROWS, STATE_ROW]).flatmap(nearly)
member_lists = st.lists(nearly_members, min_size=1, max_size=3)
notice_lists = st.lists(st.sampled_from(NOTICE_ROWS).flatmap(nearly), min_size=1, max_size=3)
datagrams = st.one_of(
    st.tuples(st.sampled_from(Kind), st.lists(json_values, max_size=5) | json_values),
    st.tuples(st.just(Kind.DIGEST), member_lists),
    st.tuples(st.just(Kind.AGED_DIGEST), member_lists.map(lambda rows: [NO_AGES, *rows])),
    st.tuples(st.just(Kind.LOAD), notice_lists),
    st.tuples(st.just(Kind.SELECTION_REQUEST), nearly(REQUEST_ROW)),
    st.tuples(st.just(Kind.SELECTION_REPLY), nearly(REPLY_ROW)),
    st.tuples(st.just(Kind.RATES), st.lists(nearly(RATE_ROW), min_size=1, max_size=3)),
    st.tuples(st.just(Kind.PERMIT_REQUEST), nearly(PERMIT_REQUEST_ROW)),
    st.tuples(st.just(Kind.PERMIT_REPLY), nearly(PERMIT_REPLY_ROW)),
    st.tuples(st.just(Kind.PERMIT_BACK), nearly(RATE_ROW[:2])),
    st.tuples(st.just(Kind.BRITTLE), st.lists(nearly(RATE_ROW), min_size=1, max_size=3)),
    st.tuples(st.just(Kind.PLACE_REQUEST), nearly([1, "me/1", 3.0, RATE_ROW[:2]])),
    st.tuples(st.just(Kind.PLACE_REPLY), nearly([1, 0, 0.02])),
    st.tuples(st.just(Kind.PLACE_END), nearly(["me/1", 1, RATE_ROW[:2]])),
    st.tuples(st.just(Kind.STREAM_BEGAN), nearly(BEGAN_ROW)),
    st.tuples(st.just(Kind.ORIGIN_REQUEST), nearly([1, "key", "model", 6.0])),
    st.tuples(st.just(Kind.ORIGIN_REPLY), nearly([1, ["v1", "e1"], ["v1", None], 6.0])),
    st.tuples(st.just(Kind.MEMBERS_REQUEST), st.lists(json_values, max_size=5)),
)


class Node:
    """The parts of a node that receive datagrams, with one peer and one endpoint known."""

    def __init__(self):
        me, peer = (
            Member(name, name, f"{name}:1", f"{name}:2", "a", FIRST_HEARTBEAT)
            for name in ("me", "peer")
        )
        self.membership = Membership(me, SimulatedClock(), random.Random(1))
        self.membership.merge([peer])
        self.registry = EndpointRegistry(SimulatedClock())
        entry = EndpointEntry("e1", "model", "10.9.0.1:80", "a", 4, False)
        self.registry.install(EndpointSnapshot(1, (entry,)), {"model": 1000}, 0.0)
        self.datagrams = PeerDatagrams(self.membership, 7000)
        self.gossip = Gossip(self.membership, self.datagrams, lambda: None)
        rates = RateParts(self.membership, self.registry, Telemetry(), SimulatedClock())
        rates.connect(self.datagrams)
        PlaceGate(self.membership, self.registry, SimulatedClock()).connect(self.datagrams)
        SelectionParts(self.registry, self.membership, rates.table).connect(self.datagrams)
        seen = self.registry.seen.report
        OriginSharing(self.membership, seen, SimulatedClock()).connect(self.datagrams)


@pytest.fixture(scope="module", autouse=True)
def no_lines():
    """Disable the logging of dropped datagrams, which needs a running event loop."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(PeerDatagrams, "_log_dropped", lambda self, sender, exc: None)
        patch.setattr(logs, "event", lambda name, **fields: None)
        patch.setattr(logs, "fault", raise_fault)
        yield


def raise_fault(exc, where):
    """Fail the test: a datagram may be malformed, but no handler meets an unforeseen exception."""
    raise exc


@settings(max_examples=DRAWN, deadline=None, derandomize=True, database=None)
@given(datagrams)
def test_a_node_goes_on_after_any_datagram(datagram):
    node = Node()
    kind, rows = datagram
    node.datagrams.datagram_received(orjson.dumps([int(kind), rows]), FROM)
    assert_that(node.membership.incarnations(), Contains("peer"))
    # What was merged must not break later steps.
    known = Member("peer", "peer", "peer:1", "peer:2", "a", FIRST_HEARTBEAT + 2**40)
    node.membership.merge([known])
    node.gossip.send(node.membership.gossip_targets())
    for member in node.membership.digest():
        orjson.dumps(codec.member_row(member))
    node.registry.expire_loads()
    node.registry.drop_loads_except({"me", "peer"})
    assert_that(node.registry.find("e1").entry.slots, Equals(4))


def test_malformed_datagrams_are_dropped():
    node = Node()
    for data in (b"", b"\xff", b"{}", b"7", b"[1]", b'["1",[]]', b"[99,[]]", b"[1,[[]]]"):
        node.datagrams.datagram_received(data, FROM)
    assert_that(sorted(node.membership.incarnations()), Equals(["me", "peer"]))
