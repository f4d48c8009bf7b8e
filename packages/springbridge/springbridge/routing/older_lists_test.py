"""Tests of endpoint lists read after the store was restored from an older copy."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.older_lists import SETTLED_S
from springbridge.routing.records import EndpointEntry, EndpointSnapshot
from springbridge.store_stamp import stamp


class Clock:
    """A clock that tests move."""

    now_s = 100.0

    def __call__(self):
        """Return the current time in seconds."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock."""
    return Clock()


def entry(name, draining=False, born_ms=None):
    """Return an entry."""
    return EndpointEntry(name, "model", "10.0.0.1:80", "a", 4, draining, born_ms)


def snapshot(era, revision, *entries):
    """Return a list at a revision of an era."""
    return EndpointSnapshot(stamp(era, revision), entries)


def usable(registry):
    """Return the ids of the endpoints that may get a request."""
    return sorted(state.entry.endpoint_id for state in registry.candidates("model", ()))


def test_a_list_of_a_later_era_is_used_though_its_revision_is_lower(clock):
    registry = EndpointRegistry(clock)
    registry.install(snapshot(0, 900, entry("e-1")), {}, 0.0)
    registry.install(snapshot(1, 700, entry("e-1"), entry("e-2")), {}, 0.0)
    assert_that(usable(registry), Equals(["e-1", "e-2"]))


def test_a_list_of_an_earlier_era_is_passed_over(clock):
    registry = EndpointRegistry(clock)
    registry.install(snapshot(1, 700, entry("e-1")), {}, 0.0)
    registry.install(snapshot(0, 900, entry("e-1"), entry("e-2")), {}, 0.0)
    assert_that(usable(registry), Equals(["e-1"]))


def test_an_endpoint_that_is_leaving_stays_so_on_an_older_copy(clock):
    registry = EndpointRegistry(clock)
    registry.install(snapshot(0, 900, entry("e-1"), entry("e-2", draining=True)), {}, 0.0)
    registry.install(snapshot(1, 700, entry("e-1"), entry("e-2")), {}, 0.0)
    assert_that(usable(registry), Equals(["e-1"]))
    clock.now_s += SETTLED_S + 0.1
    registry.install(snapshot(1, 701, entry("e-1"), entry("e-2")), {}, 0.0)
    assert_that(usable(registry), Equals(["e-1", "e-2"]))


def test_an_endpoint_that_has_left_does_not_return_with_an_older_copy(clock):
    registry = EndpointRegistry(clock)
    registry.install(snapshot(0, 900, entry("e-1"), entry("e-2"), entry("e-3")), {}, 0.0)
    registry.install(snapshot(0, 910, entry("e-1"), entry("e-3")), {}, 0.0)
    registry.install(snapshot(1, 700, entry("e-1"), entry("e-2"), entry("e-3")), {}, 0.0)
    assert_that(usable(registry), Equals(["e-1", "e-3"]))


def test_an_endpoint_that_the_older_copy_lacks_is_used_while_it_may_write_itself_again(clock):
    registry = EndpointRegistry(clock, drain_s=3.0)
    registry.install(snapshot(0, 900, entry("e-1"), entry("e-2"), entry("e-3")), {}, 0.0)
    registry.install(snapshot(1, 700, entry("e-1")), {}, 0.0)
    assert_that(usable(registry), Equals(["e-1", "e-2", "e-3"]))


def test_a_statement_of_a_later_run_holds_though_an_older_copy_has_the_earlier_run(clock):
    registry = EndpointRegistry(clock)
    leaving, other = entry("e-1", born_ms=2000), entry("e-2", born_ms=2000)
    registry.install(snapshot(0, 900, leaving, other), {}, 0.0)
    registry.mark_leaving(leaving.incarnation)
    registry.install(snapshot(1, 700, entry("e-1", born_ms=1000), other), {}, 0.0)
    assert_that(usable(registry), Equals(["e-2"]))
    # A later incarnation is still taken as a new process.
    registry.install(snapshot(1, 701, entry("e-1", born_ms=3000), other), {}, 0.0)
    assert_that(usable(registry), Equals(["e-1", "e-2"]))
