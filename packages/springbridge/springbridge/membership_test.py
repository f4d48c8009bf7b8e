"""Tests of membership.py and freshness.py: which nodes are alive, and which may serve."""

import random
from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan, Not

from springbridge.classes.table.freshness import STALE_S, Confirmation, may_serve
from springbridge.membership import (
    DIGEST_LIMIT,
    FORGET_S,
    GOSSIP_INTERVAL_S,
    SUSPECT_S,
    GossipTiming,
    HeartbeatAge,
    Member,
    Membership,
    Phase,
    SnapshotStatus,
)


def member(name, failure_domain="perth-a", **fields):
    return Member(name, name, f"{name}:1", f"{name}:2", failure_domain, **fields)


@pytest.fixture
def make_view(clock):
    """Return a function that makes the view of one node."""

    def make(name, failure_domain="perth-a", seed=1):
        return Membership(member(name, failure_domain), clock, random.Random(seed))

    return make


def gossip(views, rounds, clock, cut=lambda sender, receiver: False):
    """Exchange digests between nodes for some rounds, except where cut() is true."""
    by_address = {view.me.peer_address: view for view in views}
    for _ in range(rounds):
        clock.advance(GOSSIP_INTERVAL_S)
        for view in views:
            view.beat(view.me.config_version, 0.0, False)
            for address in view.gossip_targets():
                peer = by_address.get(address)
                if peer is not None and not cut(view, peer):
                    peer.merge(view.digest())


def listed_views(make_view, count):
    views = [make_view(f"n{number}", f"perth-{number % 3}", number) for number in range(count)]
    for view in views:
        view.set_listed(other.me.peer_address for other in views)
    return views


def test_nodes_find_each_other_from_the_list(make_view, clock):
    views = listed_views(make_view, 8)
    gossip(views, 6, clock)
    for view in views:
        assert_that(view.live(), HasLength(8))


def test_silent_node_is_left_out_whatever_the_list_says(make_view, clock):
    views = listed_views(make_view, 8)
    gossip(views, 6, clock)
    gossip(views[1:], int(SUSPECT_S / GOSSIP_INTERVAL_S) + 6, clock)
    for view in views[1:]:
        assert_that(view.incarnations(), Not(Contains("n0")))


def test_frozen_node_that_wakes_up_trusts_nobody_at_first(make_view, clock):
    views = listed_views(make_view, 4)
    gossip(views, 6, clock)
    clock.advance(SUSPECT_S + 1)
    assert_that(views[0].incarnations(), Equals(["n0"]))
    assert_that(views[0].sees_majority(), Equals(False))


def test_leaving_is_final_and_spreads(make_view, clock):
    views = listed_views(make_view, 8)
    gossip(views, 6, clock)
    views[0].leave()
    gossip(views, 5, clock)
    for view in views[1:]:
        assert_that(view.incarnations(), Not(Contains("n0")))
    views[1].merge([replace(member("n0"), heartbeat=10**6)])
    assert_that(views[1].incarnations(), Not(Contains("n0")))


def test_older_news_changes_nothing(make_view, clock):
    view = make_view("me")
    view.merge([member("n1", heartbeat=5, config_version=3)])
    view.merge([member("n1", heartbeat=4, config_version=2)])
    assert_that(view.find("n1").config_version, Equals(3))


def test_majority_counts_silent_and_unheard_nodes(make_view, clock):
    view = make_view("me")
    view.set_listed(["a:1", "b:1", "c:1", "d:1"])
    view.merge([member("a", heartbeat=1)])
    assert_that(view.sees_majority(), Equals(False))
    view.merge([member("b", heartbeat=1)])
    assert_that(view.sees_majority(), Equals(True))


def test_silent_member_counts_until_the_list_drops_it(make_view, clock):
    view = make_view("me")
    view.merge([member("a", heartbeat=1)])
    clock.advance(SUSPECT_S + 1)
    assert_that(view.sees_majority(), Equals(False))
    view.set_listed(["a:1"])
    assert_that(view.sees_majority(), Equals(False))
    view.set_listed([])
    assert_that(view.sees_majority(), Equals(True))


def test_gone_member_no_longer_counts(make_view, clock):
    view = make_view("me")
    view.merge([member(name, heartbeat=1, phase=Phase.GONE) for name in "abc"])
    assert_that(view.sees_majority(), Equals(True))


def test_members_are_forgotten_after_long_silence(make_view, clock):
    view = make_view("me")
    view.merge([member("a", heartbeat=1)])
    clock.advance(FORGET_S + 1)
    view.forget_old()
    assert_that(view.find("a"), Equals(None))


def names_in_digest(view):
    """Return the incarnations in a node's next digest, without its own."""
    return {each.incarnation for each in view.digest()} - {view.me.incarnation}


def test_a_silent_member_is_not_told_on(make_view, clock):
    view = make_view("me")
    view.merge([member("a", heartbeat=1), member("b", heartbeat=1)])
    clock.advance(SUSPECT_S + 0.1)
    view.merge([member("b", heartbeat=2)])
    assert_that(names_in_digest(view), Equals({"b"}))


def test_that_a_member_has_ended_is_told_for_a_moment(make_view, clock):
    view = make_view("me")
    view.merge([member("a", heartbeat=1)])
    clock.advance(SUSPECT_S + 0.1)
    view.merge([member("a", heartbeat=1, phase=Phase.GONE)])
    assert_that(names_in_digest(view), Equals({"a"}))
    clock.advance(SUSPECT_S + 0.1)
    assert_that(names_in_digest(view), Equals(set()))


@pytest.mark.parametrize("phase", [Phase.LIVE, Phase.LEAVING, Phase.GONE])
def test_a_member_that_ended_does_not_come_back_by_hearsay(make_view, clock, phase):
    # Guards against ended members that circulate for ever: each node forgets one at another time
    # and learns of it again from the others, until ended members fill the digests.
    views = listed_views(make_view, 6)
    gossip(views, 6, clock)
    last = member("ended", heartbeat=9, phase=phase)
    views[0].merge([last])
    rounds = round(3 * FORGET_S / GOSSIP_INTERVAL_S)
    for _ in range(rounds):
        gossip(views, 1, clock)
        for view in views:
            view.forget_old()
    assert_that([view.find("ended") for view in views], Equals([None] * 6))
    assert_that(any("ended" in names_in_digest(view) for view in views), Equals(False))


def test_members_are_suspected_after_some_lost_digests_and_forgotten_much_later():
    assert_that(SUSPECT_S, GreaterThan(2 * GOSSIP_INTERVAL_S))
    assert_that(FORGET_S, GreaterThan(10 * SUSPECT_S))


def test_digest_is_bounded(make_view, clock):
    view = make_view("me")
    view.merge(member(f"n{number}", heartbeat=1) for number in range(400))
    assert_that(len(view.digest()), LessThan(DIGEST_LIMIT + 1))


@pytest.fixture
def fresh(clock):
    """Return a confirmation of version 7 at the present time."""
    confirmation = Confirmation()
    confirmation.confirmed(7, clock())
    confirmation.table_out = False
    return confirmation


PEER = member("peer", config_version=7, heartbeat=1)
CASES = [
    # seconds since the last confirmation, table out here, majority, peers' table out, may serve
    ("fresh", 0.0, False, True, False, True),
    ("slow table", STALE_S - 0.1, True, True, False, True),
    ("table out for all", 60.0, True, True, True, True),
    ("only this node cut off from the table", 60.0, True, True, False, False),
    ("cut off with a minority", 60.0, True, False, True, False),
    ("table answers but reads fail to confirm", 60.0, False, True, False, False),
]


@pytest.mark.parametrize(
    ("silence_s", "out", "majority", "peers_out", "serves"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_who_may_serve(fresh, clock, silence_s, out, majority, peers_out, serves):
    fresh.table_out = out
    peers = [replace(PEER, table_out=peers_out)]
    clock.advance(silence_s)
    assert_that(may_serve(fresh, clock(), majority, peers), Equals(serves))


def test_nobody_serves_without_a_table(clock):
    assert_that(may_serve(Confirmation(), clock(), True, []), Equals(False))


def test_node_that_knows_of_a_newer_version_stops_serving(fresh, clock):
    fresh.table_out = True
    ahead = [replace(PEER, config_version=8, table_out=True)]
    clock.advance(STALE_S + 0.1)
    assert_that(may_serve(fresh, clock(), True, ahead), Equals(False))


def test_confirmation_comes_through_peers(fresh, clock):
    fresh.table_out = True
    clock.advance(10.0)
    fresh.learn_from([replace(PEER, confirmed_ago_s=0.5)], clock())
    assert_that(may_serve(fresh, clock(), True, [PEER]), Equals(True))


def test_confirmation_of_an_older_version_does_not_count(fresh, clock):
    clock.advance(10.0)
    fresh.learn_from([replace(PEER, config_version=6, confirmed_ago_s=0.0)], clock())
    assert_that(may_serve(fresh, clock(), True, [PEER]), Equals(False))


def test_what_is_told_on_of_a_member_is_as_old_as_it_is(clock):
    # A list of endpoints read a second ago must not look fresh because a third node relayed it.
    reader = Member("r", "r", "10.0.0.1:1", "", "a", 1, endpoint_snapshot=SnapshotStatus(7, 0.1))
    reader = replace(reader, confirmed_ago_s=0.2)
    relay = Membership(Member("m", "m", "10.0.0.2:1", "", "a"), clock, random.Random(1))
    relay.merge([reader])
    clock.advance(1.0)
    relayed = next(member for member in relay.digest() if member.incarnation == "r")
    assert_that(round(relayed.endpoint_snapshot.age_s, 3), Equals(1.1))
    assert_that(round(relayed.confirmed_ago_s, 3), Equals(1.2))


def test_a_heartbeat_that_was_long_on_its_way_is_no_new_sign_of_life(make_view, clock):
    # Guards against relayed heartbeats that count as new where they arrive: an ended node then
    # counts as live for four times the suspicion time.
    view = make_view("me")
    view.merge([member("ended", heartbeat=5)])
    clock.advance(SUSPECT_S - 0.5)
    view.merge([member("ended", heartbeat=6, heard_ago_s=SUSPECT_S - 1.0)], reported_by="third")
    clock.advance(1.1)
    assert_that(view.incarnations(), Not(Contains("ended")))


def test_the_youngest_of_all_told_ages_counts(make_view, clock):
    view = make_view("me")
    view.merge([member("a", heartbeat=5)])
    clock.advance(SUSPECT_S - 0.1)
    view.merge_ages([HeartbeatAge("a", 1.0), HeartbeatAge("unknown", 0.0)], "third")
    view.merge_ages([HeartbeatAge("a", 2.0)], "fourth")
    clock.advance(1.0)
    assert_that(view.incarnations(), Contains("a"))
    assert_that(view.last_heartbeat("a").reported_by, Equals("third"))


def test_a_sign_of_life_does_not_make_younger_what_the_member_stated(make_view, clock):
    view = make_view("me")
    view.merge([member("a", heartbeat=5, config_version=7, confirmed_ago_s=0.5)])
    clock.advance(2.0)
    view.merge_ages([HeartbeatAge("a", 0.1)], "third")
    [(_, ago_s)] = view.confirmations()
    assert_that(ago_s, Equals(2.5))


def test_ended_incarnations_of_a_node_do_not_put_suspicion_off(make_view, clock):
    view = make_view("me")
    for run in range(10):
        view.merge(
            replace(member(f"n{number}", heartbeat=1), incarnation=f"n{number}-{run}")
            for number in range(DIGEST_LIMIT - 1)
        )
    clock.advance(SUSPECT_S + 0.1)
    assert_that(view.incarnations(), Equals(["me"]))


def test_one_digest_crosses_the_border_and_the_others_stay(clock):
    me = member("m")
    view = Membership(me, clock, random.Random(1), GossipTiming(fanout=3))
    view.merge([member(f"near-{number}", heartbeat=1) for number in range(9)])
    view.merge([member(f"far-{number}", "perth-b", heartbeat=1) for number in range(9)])
    for _ in range(20):
        targets = view.gossip_targets()
        assert_that([target for target in targets if target.startswith("far")], HasLength(1))
        assert_that(targets, HasLength(3))
    assert_that(len({target for _ in range(50) for target in view.gossip_targets()}), Equals(18))


def test_without_near_members_all_digests_cross_the_border(clock):
    view = Membership(member("m"), clock, random.Random(1), GossipTiming(fanout=3))
    view.merge([member(f"far-{number}", "perth-b", heartbeat=1) for number in range(9)])
    assert_that(view.gossip_targets(), HasLength(3))


# Guards against a node that has just started and asks nobody, as it has met nobody yet.
def test_listed_addresses_at_which_nobody_was_met_are_told_apart(make_view):
    view = make_view("a")
    view.set_listed(["a:1", "b:1", "c:1"])
    assert_that(view.unmet_addresses(), Equals(["b:1", "c:1"]))
    view.merge([member("b")])
    assert_that(view.unmet_addresses(), Equals(["c:1"]))
