"""Contract tests of the platform's services through the real adapter, with injected faults."""

import asyncio

import pytest
from returns.result import Failure, Success
from springbridge.classes.entities import Endpoint, EndpointKind
from springbridge.classes.ports import OrderKind
from springbridge.classes.table.changes import Change, Edit
from springbridge.codes import Code
from springbridge_standins.class_router.engine import ModelEngine
from springbridge_standins.class_router.table_service import Platform
from springbridge_standins.free_addresses import free_address
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from springbridge_node.class_router.config.instance_list import HttpInstanceList
from springbridge_node.class_router.config.table_store import ORDER_LEASE_S, HttpTableStore
from springbridge_node.class_router.endpoints.endpoint_http import make_client
from springbridge_node.class_router.endpoints.model_client import ModelClient
from springbridge_node.class_router.endpoints.orders import Orders

ROW = "class/claims"
CELLS = {"tier": "urgent"}


class WallClock:
    """Seconds since 1970, advanced by the test."""

    now_s = 1_800_000_000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


@pytest.fixture
def platform(run):
    """Return a platform that serves in this process."""
    found = Platform(free_address(), lag_s=0.0)
    serving = run(_start(found))
    yield found
    serving.cancel()


async def _start(standin):
    serving = asyncio.ensure_future(standin.run())
    await asyncio.sleep(0.05)
    return serving


@pytest.fixture
def wall_clock():
    """Return a clock that only the test advances."""
    return WallClock()


@pytest.fixture
def store(run, platform, wall_clock):
    """Return the real adapter, connected to the platform."""

    async def make():
        return HttpTableStore(platform.address, make_client(), wall_clock)

    return run(make())


def change(version, change_id="one", before=None, after=CELLS):
    return Change(version, change_id, "op", "now", (Edit(ROW, before, after),))


def code_of(result):
    return result.failure().code if isinstance(result, Failure) else Code.OK


# Operation, faults, and the codes that the interface allows then.
FAULTS = {
    "none": ({}, Code.OK, Code.OK),
    "slow": ({"slow_s": 0.2}, Code.OK, Code.OK),
    "out": ({"out": True}, Code.TABLE_UNAVAILABLE, Code.TABLE_UNAVAILABLE),
    "reply lost": ({"lose_replies": 1}, Code.OK, Code.OK),
    "applied late": ({"late_writes": 1}, Code.OK, Code.OK),
}


@pytest.mark.parametrize(("faults", "read", "written"), FAULTS.values(), ids=FAULTS)
def test_commit_under_faults(run, platform, store, faults, read, written):
    for name, value in faults.items():
        setattr(platform.faults, name, value)
    assert_that(code_of(run(store.version())), Is(read))
    assert_that(code_of(run(store.commit(change(1)))), Is(written))
    platform.faults.out = False
    trail = run(store.changes(0, 10)).unwrap()
    assert_that(trail, HasLength(1 if written is Code.OK else 0))


@pytest.mark.parametrize("faults", [{}, {"lose_replies": 1}], ids=["none", "reply lost"])
def test_claim_belongs_to_the_first(run, platform, store, faults):
    for name, value in faults.items():
        setattr(platform.faults, name, value)
    assert_that(run(store.claim("id", "a")), Equals(Success("a")))
    assert_that(run(store.claim("id", "b")), Equals(Success("a")))
    assert_that(run(store.claim("id", "a")), Equals(Success("a")))


def test_claim_during_an_outage_is_unavailable(run, platform, store):
    platform.faults.out = True
    assert_that(code_of(run(store.claim("id", "a"))), Is(Code.TABLE_UNAVAILABLE))


def test_commit_on_an_older_version_is_a_conflict(run, store):
    run(store.commit(change(1)))
    assert_that(code_of(run(store.commit(change(1, "two")))), Is(Code.VERSION_CONFLICT))


def test_repeated_change_is_accepted_once(run, store):
    run(store.commit(change(1)))
    assert_that(code_of(run(store.commit(change(1)))), Is(Code.OK))
    assert_that(run(store.version()), Equals(Success(1)))


def test_snapshot_has_rows_and_version(run, store):
    run(store.commit(change(1)))
    run(store.commit(change(2, "two", CELLS, None)))
    snapshot = run(store.snapshot()).unwrap()
    assert_that((snapshot.version, snapshot.rows), Equals((2, {})))


def test_write_rate_limit_is_unavailable_and_not_half_done(run, platform, store):
    platform._tokens = 0.0
    platform._refilled_s += 3600.0
    assert_that(code_of(run(store.claim("id", "a"))), Is(Code.TABLE_UNAVAILABLE))
    assert_that(run(store.version()), Equals(Success(0)))


def test_list_of_instances(run, platform):
    platform.set_instances([{"peer_address": "127.0.0.1:1", "leaving": True}])

    async def read():
        return await HttpInstanceList(platform.address, make_client()).instances()

    listed = run(read()).unwrap()
    assert_that(
        [(one.peer_address, one.leaving) for one in listed], Equals([("127.0.0.1:1", True)])
    )


def test_lease_has_one_holder_and_a_growing_epoch(run, store, wall_clock):
    first = run(store.take_lease("e", "a")).unwrap()
    renewed = run(store.take_lease("e", "a")).unwrap()
    refused = run(store.take_lease("e", "b"))
    wall_clock.now_s += ORDER_LEASE_S + 1
    second = run(store.take_lease("e", "b")).unwrap()
    assert_that([first.epoch, renewed.epoch, second.epoch], Equals([1, 1, 2]))
    assert_that(code_of(refused), Is(Code.ORDER_REFUSED))


def test_lease_write_with_its_reply_lost_is_not_taken(run, platform, store):
    platform.faults.lose_replies = 1
    assert_that(code_of(run(store.take_lease("e", "a"))), Is(Code.TABLE_UNAVAILABLE))


@pytest.fixture
def make_endpoint(run):
    """Return a function that starts an engine stand-in."""
    serving = []

    def make(checks_tokens):
        standin = ModelEngine(free_address(), checks_tokens)
        serving.append(run(_start(standin)))
        endpoint = Endpoint("e", EndpointKind.MODEL, standin.address, "p", "m", 1000, checks_tokens)
        return standin, endpoint

    yield make
    for task in serving:
        task.cancel()


def orders(run, store, holder, clock):
    async def make():
        return Orders(store, ModelClient(make_client()), holder, clock)

    return run(make())


def test_order_of_a_paused_holder_is_refused_by_an_engine_that_checks(
    run, store, wall_clock, make_endpoint
):
    """The holder acquires its lease, is paused, and sends the order after another acquired it."""
    standin, endpoint = make_endpoint(True)
    paused = orders(run, store, "paused", wall_clock)
    stale = run(store.take_lease("e", "paused")).unwrap()
    wall_clock.now_s += ORDER_LEASE_S + 1
    taken = run(orders(run, store, "other", wall_clock).give(endpoint, OrderKind.LOAD, "new"))
    late = run(paused._send(endpoint, OrderKind.UNLOAD, "new", stale))
    assert_that(taken, Equals(Success(2)))
    assert_that(code_of(late), Is(Code.ORDER_REFUSED))
    assert_that([one["order"] for one in standin.orders], Equals(["load"]))


def test_engine_that_does_not_check_gets_no_order_after_a_pause(
    run, store, wall_clock, make_endpoint
):
    """The holder is paused between lease and order: its clock shows that, and it sends none."""
    standin, endpoint = make_endpoint(False)
    ticks = iter([0.0, ORDER_LEASE_S - 1.0])
    paused = orders(run, store, "paused", lambda: next(ticks))
    late = run(paused.give(endpoint, OrderKind.LOAD, "old"))
    assert_that(code_of(late), Is(Code.ORDER_REFUSED))
    assert_that(standin.orders, HasLength(0))


def test_engine_that_does_not_check_gets_no_role_change(run, store, wall_clock, make_endpoint):
    _, endpoint = make_endpoint(False)
    result = run(orders(run, store, "a", wall_clock).give(endpoint, OrderKind.ROLE, "prefill"))
    assert_that(code_of(result), Is(Code.ORDER_REFUSED))


def test_engine_that_does_not_check_takes_plain_orders(run, store, wall_clock, make_endpoint):
    standin, endpoint = make_endpoint(False)
    result = run(orders(run, store, "a", wall_clock).give(endpoint, OrderKind.LOAD, "m"))
    assert_that(result, Equals(Success(1)))
    assert_that(standin.orders, HasLength(1))
