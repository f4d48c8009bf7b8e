"""Tests of configuration_follower.py: which version is in force, and when the store is read."""

import asyncio

import orjson
from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.records import Configuration
from springbridge.routing.store_freshness import CHECK_INTERVAL_S, CONFIRMED_S
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan

from springbridge_node import logs
from springbridge_node.gateway.config.configuration_follower import ConfigurationFollower
from springbridge_node.gateway.config.platform_store import (
    ConfigurationDocument,
    ConfigurationUpdate,
)
from springbridge_node.gateway.config.source import Source

VERSION = 3
FOREVER_S = 60.0


class Store:
    """A store that counts its calls and, while it is up, answers them."""

    def __init__(self):
        self.up = True
        self.reads = 0
        self.waits = 0

    async def read_configuration(self):
        """Return the version."""
        self.reads += 1
        if not self.up:
            return Failure(Problem(Code.TABLE_UNAVAILABLE, "down"))
        return Success(ConfigurationUpdate(1, document(VERSION)))

    async def await_configuration(self, cursor, wait_s):
        """Block for longer than any test runs."""
        self.waits += 1
        await asyncio.sleep(FOREVER_S)


class Readers:
    """A stand-in for StoreReaders with fixed answers."""

    def __init__(self, reads_for_all=False, is_starting=False, turn_s=0.0, round_s=0.0):
        self.reads_for_all = reads_for_all
        self.is_starting = is_starting
        self._turn_s = turn_s
        self._round_s = round_s

    def include_me(self, count):
        """Return the set value."""
        return self.reads_for_all

    def waits_for_seeds(self):
        """Return the set value."""
        return self.is_starting

    def turn_s(self, count):
        """Return the set value."""
        return self._turn_s

    def round_s(self):
        """Return the set value."""
        return self._round_s


def document(version):
    return ConfigurationDocument(version, orjson.dumps({"version": version}))


def read(raw):
    return Configuration(orjson.loads(raw)["version"], (), {}, ())


def run(store, readers, clock, steps=()):
    """Run a follower, calling the steps one check interval apart, and return it."""
    follower = ConfigurationFollower(store, read, lambda index, source: None, readers, clock)

    async def body():
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(CHECK_INTERVAL_S / 4)
        for step in steps:
            step(follower)
            await asyncio.sleep(CHECK_INTERVAL_S * 1.5)
        task.cancel()

    asyncio.run(body())
    return follower


def test_a_reader_waits_at_the_feed_and_knows_the_newest_version(clock):
    store = Store()
    follower = run(store, Readers(reads_for_all=True), clock)
    assert_that((store.reads, store.waits, follower.version), Equals((1, 1, VERSION)))


def test_a_node_whose_peers_confirm_its_version_leaves_the_store_alone(clock):
    store = Store()

    def confirmed(follower):
        clock.now_s += CONFIRMED_S
        follower.confirm(VERSION, 0.1)

    run(store, Readers(), clock, [confirmed] * 3)
    assert_that((store.reads, store.waits), Equals((1, 0)))


def test_a_node_whose_version_nobody_confirms_reads_the_store(clock):
    store = Store()

    def silent(follower):
        clock.now_s += CONFIRMED_S + 0.1

    run(store, Readers(), clock, [silent] * 3)
    assert_that(store.reads, GreaterThan(2))


def test_the_confirmation_of_another_version_does_not_count(clock):
    store = Store()

    def other(follower):
        clock.now_s += CONFIRMED_S + 0.1
        follower.confirm(VERSION - 1, 0.0)

    run(store, Readers(), clock, [other])
    assert_that(store.reads, Equals(2))


def test_an_old_confirmation_does_not_count(clock):
    store = Store()

    def old(follower):
        clock.now_s += CONFIRMED_S + 0.1
        follower.confirm(VERSION, CONFIRMED_S + 0.05)

    run(store, Readers(), clock, [old])
    assert_that(store.reads, Equals(2))


def test_a_starting_node_leaves_the_store_to_its_seeds(clock):
    store = Store()
    readers = Readers(is_starting=True)

    def told(follower):
        follower.offer(document(VERSION), Source.PEER)
        follower.confirm(VERSION, 0.1)

    def no_longer(follower):
        readers.is_starting = False

    run(store, readers, clock, [told, no_longer])
    assert_that(store.reads, Equals(0))


def test_a_starting_node_whose_seeds_are_silent_reads_the_store(clock):
    store = Store()
    readers = Readers(is_starting=True)

    def no_longer(follower):
        readers.is_starting = False

    follower = run(store, readers, clock, [lambda follower: None, no_longer])
    assert_that((store.reads, follower.version), Equals((1, VERSION)))


def test_after_a_stall_no_confirmation_of_before_counts(clock):
    store = Store()
    run(store, Readers(), clock, [lambda follower: follower.refresh()])
    assert_that(store.reads, Equals(2))


def test_a_node_says_how_old_its_knowledge_is(clock):
    store = Store()
    follower = run(store, Readers(), clock)
    clock.now_s += 0.7
    assert_that(round(follower.age_s(), 3), Equals(0.7))


def test_without_the_store_a_version_stays_in_force_and_grows_old(clock):
    store = Store()

    def down(follower):
        store.up = False
        clock.now_s += CONFIRMED_S + 0.1

    follower = run(store, Readers(reads_for_all=False), clock, [down])
    assert_that(follower.version, Equals(VERSION))
    assert_that(follower.age_s(), GreaterThan(CONFIRMED_S))


def test_an_unconfirmed_node_leaves_the_store_to_those_whose_turn_comes_first(clock):
    store = Store()
    reads_before = []

    def unconfirmed(follower):
        clock.now_s += CONFIRMED_S + 0.3

    def its_turn(follower):
        reads_before.append(store.reads)
        clock.now_s += 0.3

    run(store, Readers(turn_s=0.5), clock, [unconfirmed, its_turn])
    assert_that((reads_before, store.reads), Equals(([1], 2)))


def test_a_node_that_failed_to_read_lets_all_others_try_before_it_tries_again(clock):
    store = Store()

    def down(follower):
        store.up = False
        clock.now_s += CONFIRMED_S + 0.1

    run(store, Readers(round_s=FOREVER_S), clock, [down, *[lambda follower: None] * 4])
    assert_that(store.reads, Equals(2))


def test_a_node_that_reads_for_all_tries_again_soon(clock):
    store = Store()
    store.up = False
    run(store, Readers(reads_for_all=True, round_s=FOREVER_S), clock, [lambda follower: None] * 4)
    assert_that(store.reads, GreaterThan(2))


def test_a_node_that_missed_changes_reads_at_once_whosever_turn_it_is(clock):
    store = Store()

    def down(follower):
        store.up = False
        clock.now_s += CONFIRMED_S + 10.0

    def stalled(follower):
        store.up = True
        follower.refresh()

    run(store, Readers(turn_s=5.0, round_s=FOREVER_S), clock, [down, stalled])
    assert_that(store.reads, Equals(3))


def test_callers_come_back_later_while_the_store_is_out(clock):
    silent = Store()
    silent.up = False
    starting = run(Store(), Readers(is_starting=True), clock)
    waiting = run(silent, Readers(), clock)
    assert_that((starting.index, waiting.index), Equals((None, None)))
    assert_that(waiting.retry_after_s(), GreaterThan(2 * starting.retry_after_s()))


def test_history_that_the_store_has_lost_leaves_a_line(clock, monkeypatch):
    store = Store()
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append((name, fields)))

    async def lost(cursor, wait_s):
        store.waits += 1
        if store.waits > 1:
            await asyncio.sleep(FOREVER_S)
        return Failure(Problem(Code.VERSION_CONFLICT, "history gone"))

    store.await_configuration = lost
    run(store, Readers(reads_for_all=True), clock)
    assert_that(lines, Contains(("configuration.history_gone", {"version": VERSION})))


# Guards against a node that is ready and follows its configuration no more, as one round met an
# exception that nobody foresaw.
def test_a_fault_in_one_round_does_not_end_the_following(clock):
    store, readers = Store(), Readers(reads_for_all=True)
    rounds = []

    def round_s():
        rounds.append(clock.now_s)
        if len(rounds) == 1:
            raise KeyError
        return 0.0

    readers.round_s = round_s
    follower = run(store, readers, clock, [ConfigurationFollower.refresh] * 2)
    assert_that((len(rounds) > 1, store.reads > 1), Equals((True, True)))
    assert_that(follower.version, Equals(VERSION))
