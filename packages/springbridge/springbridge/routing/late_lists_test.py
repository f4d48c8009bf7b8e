"""Tests of statements by an endpoint that has started again before the list names its new run.

Guards against requests to an endpoint that leaves: its statement was recorded for the run that the
list still named, and the next list brought the new run without it.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.listed_entries import ENTRY_DELAY_S
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.older_lists import SETTLED_S
from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge.statements.leaving import CARRIED_S
from springbridge.store_stamp import stamp

SERVICE = "model"
# Seconds after its statement from which an endpoint must get no request.
DRAIN_S = 2.0
OTHER = EndpointEntry("e-2", SERVICE, "10.0.0.2:80", "a", 4, False, 1)


def run(born_ms, address="10.0.0.1:80"):
    """Return the entry of a run of the endpoint that starts again."""
    return EndpointEntry("e-1", SERVICE, address, "a", 4, False, born_ms)


class Lists:
    """Installs lists in a registry, each at a new revision."""

    def __init__(self, registry):
        self.registry = registry
        self.era = 0
        self._revision = 0

    def __call__(self, *entries, age_s=0.0):
        """Install a list that was read age_s ago."""
        self._revision += 1
        snapshot = EndpointSnapshot(stamp(self.era, self._revision), (*entries, OTHER))
        self.registry.install(snapshot, {}, age_s)


@pytest.fixture
def registry(clock):
    return EndpointRegistry(clock, drain_s=DRAIN_S)


@pytest.fixture
def lists(registry):
    return Lists(registry)


def usable(registry, tried=()):
    """Return the ids of the endpoints that may get a request."""
    return sorted(state.entry.endpoint_id for state in registry.candidates(SERVICE, tried))


def test_a_statement_counts_for_the_run_that_the_list_names_late(registry, lists, clock):
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    clock.advance(0.1)
    lists(run(2000))
    assert_that(usable(registry), Equals(["e-2"]))
    # The time as a last resort is that of the statement.
    assert_that(usable(registry, {"e-2"}), Equals(["e-1"]))
    clock.advance(1.85)
    assert_that(usable(registry, {"e-2"}), Equals([]))
    assert_that([each.entry for each in registry.staying()], Equals([OTHER]))


def test_the_runs_own_statement_makes_it_final(registry, lists, clock):
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    lists(run(2000))
    assert_that(registry.mark_leaving(run(2000).incarnation, clock()), Equals(True))
    clock.advance(CARRIED_S + 1.0)
    assert_that(usable(registry), Equals(["e-2"]))


def test_a_run_of_which_it_is_not_known_gets_requests_after_a_while(registry, lists, clock):
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    lists(run(2000))
    clock.advance(CARRIED_S + 0.1)
    assert_that(usable(registry), Equals(["e-1", "e-2"]))


def test_a_statement_of_a_run_that_a_later_list_names_is_that_runs(registry, lists, clock):
    lists(run(1000))
    opened_s = clock()
    clock.advance(ENTRY_DELAY_S)
    registry.mark_leaving(run(1000).incarnation, opened_s)
    clock.advance(0.5)
    lists(run(1000))
    clock.advance(0.5)
    lists(run(2000))
    assert_that(usable(registry), Equals(["e-1", "e-2"]))


def test_a_statement_on_a_new_connection_may_be_of_a_run_without_an_entry(registry, lists, clock):
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    registry.mark_resting(run(1000).incarnation, 30.0, clock())
    clock.advance(0.1)
    lists(run(1000))
    clock.advance(0.5)
    lists(run(2000))
    # As a peer's report: it gets requests only if there is no other, and not for long.
    assert_that(usable(registry), Equals(["e-2"]))
    assert_that(usable(registry, {"e-2"}), Equals(["e-1"]))
    clock.advance(CARRIED_S)
    assert_that(usable(registry), Equals(["e-1", "e-2"]))


@pytest.mark.parametrize(
    ("since_s", "expected"),
    [(ENTRY_DELAY_S / 2, ["e-2"]), (ENTRY_DELAY_S * 2, ["e-1", "e-2"])],
)
def test_a_peers_confirmation_shows_the_run_of_a_moment_ago(
    registry, lists, clock, since_s, expected
):
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    clock.advance(since_s)
    registry.confirm(0.0)
    lists(run(2000))
    assert_that(usable(registry), Equals(expected))


def test_an_answer_that_comes_after_the_list_counts_for_the_run_on_it(registry, lists, clock):
    lists(run(1000))
    clock.advance(0.5)
    lists(run(2000))
    clock.advance(0.1)
    # The request was sent while the list named the run before.
    registry.mark_leaving(run(1000).incarnation, clock())
    assert_that(usable(registry), Equals(["e-2"]))


def test_a_second_answer_counts_though_the_run_before_had_stated_the_same(registry, lists, clock):
    lists(run(1000))
    registry.mark_leaving(run(1000).incarnation, clock())
    clock.advance(1.0)
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    lists(run(2000))
    assert_that(usable(registry), Equals(["e-2"]))


def test_a_statement_does_not_count_for_the_run_after_the_next(registry, lists, clock):
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    registry.mark_resting(run(1000).incarnation, 30.0, clock())
    clock.advance(0.1)
    lists(run(2000))
    assert_that(usable(registry), Equals(["e-2"]))
    clock.advance(ENTRY_DELAY_S)
    lists(run(2000))
    clock.advance(0.5)
    lists(run(3000))
    assert_that(usable(registry), Equals(["e-1", "e-2"]))


def test_a_list_without_the_endpoint_in_between_takes_nothing_away(registry, lists, clock):
    lists(run(None))
    clock.advance(0.4)
    registry.mark_leaving(run(None).incarnation, clock())
    lists()
    clock.advance(0.5)
    lists()
    lists(run(2000))
    assert_that(usable(registry), Equals(["e-2"]))


def test_a_list_of_an_older_copy_does_not_show_which_run_is_up(registry, lists, clock):
    lists(run(1000))
    clock.advance(0.4)
    lists.era = 1
    lists(run(1000))
    clock.advance(0.1)
    registry.mark_leaving(run(1000).incarnation, clock())
    clock.advance(0.5)
    lists(run(1000))
    lists(run(2000))
    assert_that(usable(registry), Equals(["e-2"]))


def test_an_earlier_run_does_not_come_back(registry, lists, clock):
    lists(run(2000))
    lists.era = 1
    lists(run(2000))
    clock.advance(SETTLED_S)
    registry.mark_leaving(run(2000).incarnation, clock())
    clock.advance(0.5)
    lists(run(2000))
    lists(run(1000))
    assert_that(usable(registry), Equals(["e-2"]))


def test_a_run_at_another_address_is_not_concerned(registry, lists, clock):
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    lists(run(2000, "10.0.0.3:80"))
    assert_that(usable(registry), Equals(["e-1", "e-2"]))


def test_the_time_as_a_last_resort_is_not_that_of_a_run_long_gone(registry, lists, clock):
    lists(run(1000))
    registry.mark_leaving(run(1000).incarnation, clock())
    clock.advance(30.0)
    lists(run(1000))
    lists(run(2000))
    clock.advance(30.0)
    lists(run(2000))
    registry.mark_leaving(run(2000).incarnation, clock())
    assert_that(usable(registry, {"e-2"}), Equals(["e-1"]))


def test_a_rest_holds_though_lists_were_without_the_endpoint_that_has_a_request(
    registry, lists, clock
):
    lists(run(1000))
    clock.advance(0.4)
    registry.apply_notice(LoadNotice(LoadPhase.STARTED, "a-1", "e-1"))
    registry.mark_resting(run(1000).incarnation, 30.0, clock())
    clock.advance(0.1)
    lists()
    clock.advance(0.5)
    lists()
    lists(run(2000))
    clock.advance(20.0)
    assert_that(usable(registry), Equals(["e-2"]))


def test_the_time_as_a_last_resort_is_not_that_of_a_run_on_a_connection_as_young(
    registry, lists, clock
):
    lists(run(1000))
    clock.advance(0.4)
    registry.mark_leaving(run(1000).incarnation, clock())
    clock.advance(0.1)
    lists(run(1000))
    clock.advance(0.5)
    lists(run(2000))
    clock.advance(CARRIED_S + 20.0)
    registry.mark_leaving(run(2000).incarnation, clock())
    assert_that(usable(registry, {"e-2"}), Equals(["e-1"]))
