"""Tests of peer_links.py: streams that break or end at any moment."""

import asyncio

from springbridge_standins.free_addresses import free_address
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.class_router.peers.messages import Digest
from springbridge_node.class_router.peers.peer_links import PeerLinks

TRIES = 400


def test_links_to_a_peer_that_is_gone_end_when_closed():
    """Found by the soak, seed 4: a planned stop hung, as a cancellation got lost in a race."""

    async def scenario():
        ended = 0
        for number in range(TRIES):
            links = PeerLinks({}, lambda address: None, lambda address: None)
            links.send(free_address(), Digest(()))
            for _ in range(number % 8):
                await asyncio.sleep(0)
            closing = asyncio.ensure_future(links.close())
            done, _ = await asyncio.wait([closing], timeout=2.0)
            if not done:
                break
            ended += 1
        return ended

    assert_that(asyncio.run(scenario()), Equals(TRIES))
