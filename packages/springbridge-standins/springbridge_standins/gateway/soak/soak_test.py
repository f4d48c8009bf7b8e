"""Short soaks with fixed seeds find no violation; longer ones are run by hand, `make soak`."""

import asyncio
from collections import Counter
from types import SimpleNamespace

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from springbridge_standins.gateway.crowd.drawn import LISTENERS
from springbridge_standins.gateway.soak import nodes
from springbridge_standins.gateway.soak.alone import LEFT_ALONE
from springbridge_standins.gateway.soak.departures import CUT, WHOLE
from springbridge_standins.gateway.soak.odd_answers import (
    BROKEN_COUNT,
    ENDLESS_COUNT,
    UNFIT_COUNT,
)
from springbridge_standins.gateway.soak.odd_rows import LEFT_LONG_AGO, ODD, PATH
from springbridge_standins.gateway.soak.soak import Harms, run_soak
from springbridge_standins.gateway.soak.unframed import Ending


def test_a_short_soak_breaks_no_promise(tmp_path):
    soak = asyncio.run(run_soak(7, 12.0, tmp_path))
    assert_that(soak.violations, Equals([]))
    assert_that(len(soak.sent), GreaterThan(20))


def test_a_short_soak_of_a_large_fleet_breaks_no_promise(tmp_path):
    # With this many nodes load isn't shared with all peers, so that schedulers choose endpoints.
    def scheduled():
        logs = "".join(path.read_text() for path in tmp_path.glob("*.log"))
        return logs.count('"scheduler":"127.')

    soak = asyncio.run(run_soak(9, 12.0, tmp_path, nodes=24, enough=lambda: scheduled() > 20))
    assert_that(soak.violations, Equals([]))
    assert_that(scheduled(), GreaterThan(20))


# Guards against half an answer that reaches its caller as whole, whoever ends: the endpoint in an
# event, its process, the peer on the way, the node; and against a soak that has none of these.
def test_a_short_soak_has_answers_without_a_length_that_end_in_all_ways(tmp_path):
    def endings():
        return [soak_counts[f"answers without a length, {ending.name}"] for ending in Ending]

    soak_counts = Counter()
    soak = asyncio.run(
        run_soak(75, 12.0, tmp_path, nodes=5, counts=soak_counts, enough=lambda: all(endings()))
    )
    assert_that(soak.violations, Equals([]))
    assert_that(min(endings()), GreaterThan(0))


# Guards against streams with events of two versions, and against streams that cannot go on although
# two engines of their version serve, during rollouts that overlap with kills of nodes.
def test_a_short_soak_with_rollouts_keeps_each_stream_at_its_version(tmp_path):
    def taken_up():
        return soak_counts["/read/x 200"] > 100 and soak_counts["harm replace_engine"] > 5

    soak_counts = Counter()
    soak = asyncio.run(run_soak(78, 12.0, tmp_path, nodes=5, counts=soak_counts, enough=taken_up))
    assert_that(soak.violations, Equals([]))
    assert_that(soak_counts["versions: taken up"], GreaterThan(12))


# Guards against a part of prompts that ends one engine after another, in requests no two of which
# are alike, and against the loss of those that share all other parts, while nodes are killed.
def test_a_short_soak_keeps_a_part_that_crashes_engines_from_them(tmp_path):
    def tried():
        served, refused = soak_counts["parts: twin 200"], soak_counts["parts: poison 503"]
        return min(served, refused) > 15 and soak_counts["harm kill_node"] > 0

    soak_counts = Counter()
    soak = asyncio.run(
        run_soak(
            81, 15.0, tmp_path, nodes=5, counts=soak_counts, enough=tried, harms=Harms(parts=True)
        )
    )
    assert_that(soak.violations, Equals([]))
    assert_that(soak_counts["parts: engines crashed"], GreaterThan(1))


# Guards against reporting a usage window twice: the store was restored from a copy without the
# decision, and a lease holder that did not know of it decided again.
def test_a_window_is_reported_once_though_the_store_loses_the_decision(tmp_path):
    soak = asyncio.run(run_soak(9402, 15.0, tmp_path, nodes=20))
    assert_that(soak.violations, Equals([]))


# Guards against requests that end without an answer at a fleet of one instance, as endpoints that
# neither accept nor refuse connections were an unforeseen case there.
def test_a_short_soak_of_a_fleet_of_one_breaks_no_promise(tmp_path):
    soak = asyncio.run(run_soak(87, 12.0, tmp_path, nodes=1))
    assert_that(soak.violations, Equals([]))


# Guards against the same at an instance whose peers are killed or frozen at that moment.
def test_a_short_soak_with_instances_left_alone_breaks_no_promise(tmp_path):
    soak_counts = Counter()
    soak = asyncio.run(
        run_soak(
            87,
            12.0,
            tmp_path,
            counts=soak_counts,
            enough=lambda: soak_counts[LEFT_ALONE] > 3,
            harms=Harms(alone=True),
        )
    )
    assert_that(soak.violations, Equals([]))


# Guards against a failure that becomes a part of a stream, against an endpoint whose bytes do not
# end and take the instance from all others, and against answers with broken heads that callers get,
# during kills, freezes and cuts.
def test_a_short_soak_with_answers_that_are_none_breaks_no_promise(tmp_path):
    def tried():
        counts = (soak_counts[UNFIT_COUNT], soak_counts[ENDLESS_COUNT], soak_counts[BROKEN_COUNT])
        return all(count > least for count, least in zip(counts, (3, 5, 10), strict=True))

    soak_counts = Counter()
    soak = asyncio.run(
        run_soak(90, 12.0, tmp_path, counts=soak_counts, enough=tried, harms=Harms(odd=True))
    )
    assert_that(soak.violations, Equals([]))
    assert_that(tried(), Equals(True))


# Guards against half a stream that reaches its caller as whole, as its engine ended within it
# while it left or its node stood still; and against a soak in which no departure cuts a stream.
def test_a_short_soak_with_departing_engines_breaks_no_promise(tmp_path):
    def tried():
        return soak_counts[CUT] > 20 and soak_counts[WHOLE] > 40

    soak_counts = Counter()
    soak = asyncio.run(
        run_soak(93, 12.0, tmp_path, counts=soak_counts, enough=tried, harms=Harms(departures=True))
    )
    assert_that(soak.violations, Equals([]))
    assert_that(tried(), Equals(True))


# Guards against an odd row by another writer of which nodes lose the list: an engine that left long
# ago gets requests, and one that joined none.
def test_a_short_soak_with_odd_rows_breaks_no_promise(tmp_path):
    def tried():
        return soak_counts[ODD] > 30 and soak_counts[f"{PATH} 200"] > 200

    soak_counts = Counter()
    soak = asyncio.run(
        run_soak(96, 26.0, tmp_path, counts=soak_counts, enough=tried, harms=Harms(odd_rows=True))
    )
    assert_that(soak.violations, Equals([]))
    assert_that(soak_counts[LEFT_LONG_AGO], GreaterThan(0))


# Guards against nodes that run out of memory by crowds of clients, while other harms go on.
def test_a_short_soak_with_crowds_breaks_no_promise(tmp_path):
    soak = asyncio.run(run_soak(99, 15.0, tmp_path, harms=Harms(crowds=True)))
    assert_that(soak.violations, Equals([]))
    assert_that(sum(soak.counts[f"crowd at {name}"] for name in LISTENERS), GreaterThan(2))


# Guards against a soak that finds no violation because its nodes never served.
def test_a_soak_whose_nodes_never_serve_is_a_violation(tmp_path, monkeypatch):
    monkeypatch.setattr(nodes, "sys", SimpleNamespace(executable="/bin/false"))
    soak = asyncio.run(run_soak(1, 0.5, tmp_path, nodes=1))
    assert_that(soak.violations, Equals(["the fleet serves callers: of 0 requests none got 200"]))
