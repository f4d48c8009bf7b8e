"""Tests of statement_watch.py: words of a run of an endpoint that is not listed yet.

An endpoint that restarts under its id and address answers before the list shows its new run. What
it says of itself is about the run that answers, whatever the list says at that moment.
"""

import random
from dataclasses import replace

import pytest
from springbridge.membership import Member, Membership
from springbridge.rates.rate_table import RateTable
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.listed_entries import ENTRY_DELAY_S
from springbridge.routing.older_lists import SETTLED_S
from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge.statements.answer_statements import AnswerStatements
from springbridge.statements.leaving import CARRIED_S, MAX_LAST_RESORT_S
from springbridge.store_stamp import stamp
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.gateway.peers.granter_set import GranterSet
from springbridge_node.gateway.peers.statement_sharing import StatementSharing
from springbridge_node.gateway.requests.request_codec import AnswerMetadata
from springbridge_node.gateway.requests.statement_log import StatementLog
from springbridge_node.gateway.requests.statement_watch import StatementWatch
from springbridge_node.gateway.telemetry import Telemetry

SERVICE = "desk"
OLD = EndpointEntry("i-1", SERVICE, "10.0.0.1:80", "perth-a", 8, False, born_ms=2)
NEW = replace(OLD, born_ms=3)
OTHER = EndpointEntry("i-2", SERVICE, "10.0.0.2:80", "perth-a", 8, False, born_ms=2)
REST_S = 30.0
ASKS_REST = AnswerStatements(rest_s=REST_S)
LEAVES = AnswerStatements(leaves=True)


class Node:
    """The parts of a node that lists two endpoints and records what they say.

    Attributes:
      now_s: Time of its clock.
    """

    def __init__(self):
        self.now_s = 100.0
        self.registry = EndpointRegistry(self.clock)
        me = Member("me", "me", "10.0.1.1:90", "", "perth-a")
        membership = Membership(me, self.clock, random.Random(1))
        rates = RateTable(self.clock)
        granters = GranterSet(membership, self.clock)
        sharing = StatementSharing(rates, membership, self.registry, granters, self.clock)
        log = StatementLog(Telemetry())
        self._watch = StatementWatch(self.registry, rates, sharing, log, self.clock)
        self._revision = 0
        self.list(OLD)

    def clock(self):
        """Return the time."""
        return self.now_s

    def list(self, entry, era=0):
        """Read a list with the other endpoint and an entry of the first."""
        self._revision += 1
        snapshot = EndpointSnapshot(stamp(era, self._revision), (entry, OTHER))
        self.registry.install(snapshot, {}, 0.0)

    def hear(self, statements, opened_s, entry=OLD):
        """Get an answer now, on a connection that was opened while the entry was listed."""
        metadata = AnswerMetadata("q", not_run=False, other_endpoint=False, statements=statements)
        self._watch.record(entry, "q", metadata, self.now_s, opened_s)

    def candidates(self):
        """Return the ids of the endpoints that may get a request."""
        return [each.entry.endpoint_id for each in self.registry.candidates(SERVICE, ())]


@pytest.fixture
def node():
    """Return a node."""
    return Node()


def test_a_rest_asked_for_by_a_run_that_is_not_listed_yet_holds_once_it_is(node):
    node.now_s += 0.7
    node.hear(ASKS_REST, opened_s=node.now_s - 0.1)
    assert_that(node.candidates(), Equals(["i-2"]))
    node.now_s += 0.5
    node.list(NEW)
    assert_that(node.candidates(), Equals(["i-2"]))
    # The list is confirmed again and again; the rest ends when it was to end, not before.
    node.now_s += REST_S - 0.6
    node.list(NEW)
    assert_that(node.candidates(), Equals(["i-2"]))
    node.now_s += 0.2
    assert_that(node.candidates(), Equals(["i-1", "i-2"]))


def test_a_rest_holds_though_the_list_brings_the_run_while_the_request_runs(node):
    node.now_s += 0.7
    opened_s = node.now_s - 0.1
    node.list(NEW)
    node.hear(ASKS_REST, opened_s)
    assert_that(node.candidates(), Equals(["i-2"]))


def test_a_rest_of_the_run_before_does_not_concern_the_new_one(node):
    opened_s = node.now_s - ENTRY_DELAY_S - 0.1
    node.hear(ASKS_REST, opened_s)
    node.now_s += 0.5
    node.list(NEW)
    assert_that(node.candidates(), Equals(["i-1", "i-2"]))
    node.hear(ASKS_REST, opened_s)
    assert_that(node.candidates(), Equals(["i-1", "i-2"]))


def test_a_new_run_at_another_address_is_not_concerned(node):
    node.hear(ASKS_REST, opened_s=node.now_s)
    node.list(replace(NEW, address="10.0.0.3:80"))
    assert_that(node.candidates(), Equals(["i-1", "i-2"]))


def test_while_the_store_is_out_the_word_of_a_new_run_is_kept_for_it(node):
    node.now_s += 20.0
    node.hear(ASKS_REST, opened_s=node.now_s - 15.0)
    node.list(NEW)
    assert_that(node.candidates(), Equals(["i-2"]))


def test_lists_of_an_older_copy_do_not_show_which_run_answers(node):
    node.now_s += 1.0
    node.list(OLD, era=1)
    opened_s = node.now_s
    node.now_s += SETTLED_S - 1.0
    node.list(OLD, era=1)
    node.hear(ASKS_REST, opened_s)
    node.list(NEW, era=1)
    assert_that(node.candidates(), Equals(["i-2"]))


def test_a_run_that_may_have_said_that_it_leaves_gets_no_requests_for_a_while(node):
    node.now_s += 0.7
    node.hear(LEAVES, opened_s=node.now_s - 0.1)
    node.list(NEW)
    assert_that(node.candidates(), Equals(["i-2"]))
    # Not for ever, since the run before may have said so; and a request finds out.
    node.now_s += CARRIED_S
    assert_that(node.candidates(), Equals(["i-1", "i-2"]))
    node.hear(LEAVES, opened_s=node.now_s, entry=NEW)
    node.now_s += CARRIED_S
    assert_that(node.candidates(), Equals(["i-2"]))


def test_a_run_that_may_leave_is_a_last_resort_from_the_statement_on(node):
    node.now_s += 0.4
    node.hear(LEAVES, opened_s=node.now_s)
    node.now_s += MAX_LAST_RESORT_S - 0.1
    node.list(NEW)
    node.registry.mark_leaving(OTHER.incarnation)
    assert_that(node.candidates(), Equals(["i-1", "i-2"]))
    node.now_s += 0.2
    assert_that(node.candidates(), Equals(["i-2"]))


def test_that_a_run_before_left_does_not_concern_the_new_one(node):
    node.hear(LEAVES, opened_s=node.now_s - ENTRY_DELAY_S - 0.1)
    node.list(NEW)
    assert_that(node.candidates(), Equals(["i-1", "i-2"]))
