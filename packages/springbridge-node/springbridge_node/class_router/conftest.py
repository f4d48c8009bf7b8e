"""Fixtures that the tests of this package share: worlds of processes, one event loop a module."""

import asyncio

import pytest
from springbridge_standins.class_router.caller import Address, Call, new_id, wait_until
from springbridge_standins.class_router.world import World, running_world

KEY = "key-perth-airport"


@pytest.fixture(scope="module")
def run():
    """Return a function that runs a coroutine on the module's event loop."""
    with asyncio.Runner() as runner:
        yield runner.run


@pytest.fixture(scope="module")
def shared_world(run):
    """Return a world of three nodes that the tests of a module leave as they found it."""
    manager = running_world("findwell.csv", 3)
    yield run(manager.__aenter__())
    run(manager.__aexit__(None, None, None))


@pytest.fixture
def world(run):
    """Return a world of three nodes that one test may damage."""
    manager = running_world("findwell.csv", 3)
    yield run(manager.__aenter__())
    run(manager.__aexit__(None, None, None))


def call_of(request_class: str, tokens: int = 24, **fields: str) -> Call:
    """Return a call of a class; its prompt names the class."""
    fields.setdefault("prompt", f"a question of class {request_class}")
    return Call(key=KEY, request_class=request_class, tokens=tokens, **fields)


async def address_of(world: World, name: str, request_class: str = "claim-answers") -> Address:
    """Return the entry for a node in the addresses that callers get."""
    node = world.nodes[name]
    found = await world.caller.addresses(node.caller_address, KEY, request_class)
    return next(one for one in found if one.address == node.caller_address)


async def homed_id(world: World, name: str) -> str:
    """Return a request id whose home is a node."""
    return new_id(await address_of(world, name))


async def executions(world: World, request_id: str) -> int:
    """Return how often endpoints and services started a request."""
    found = [await counters_of(world, cells["address"]) for cells in world.endpoints().values()]
    return sum(counters["started"].get(request_id, 0) for counters in found)


async def counters_of(world: World, address: str) -> dict:
    """Return a stand-in's counters, once it is back if it has crashed."""
    found: dict = {}

    async def answers() -> bool:
        try:
            found.update(await world.counters(address))
        except OSError:
            return False
        return True

    await wait_until(answers, 10.0)
    return found
