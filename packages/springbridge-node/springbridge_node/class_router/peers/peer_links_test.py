"""Tests of peer_links.py: closing links, and which failures are reported."""

import asyncio

from springbridge_standins.free_addresses import free_address
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.class_router.peers import peer_links
from springbridge_node.class_router.peers.messages import Digest
from springbridge_node.class_router.peers.peer_links import PeerLink, PeerLinks

TRIES = 400


def test_links_to_a_peer_that_is_gone_end_when_closed():
    """A cancellation lost while a link connects would hang the planned stop (soak, seed 4)."""

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


class UnansweredChannel:
    """A channel to a peer whose packets are dropped: connecting never completes."""

    def __init__(self, host, port):
        """Take the peer's address."""

    async def __connect__(self):  # noqa: N807 (grpclib's name)
        await asyncio.Event().wait()

    def close(self):
        """Close nothing."""


def test_a_peer_that_takes_no_connection_is_reported(monkeypatch):
    # If the timeout were treated as an idle link, the peer would be suspected only after the full
    # time without heartbeats; a refused connection halves that time.
    monkeypatch.setattr(peer_links, "CONNECT_TIMEOUT_S", 0.05)
    monkeypatch.setattr(peer_links, "Channel", UnansweredChannel)
    broken = []

    async def scenario():
        links = PeerLinks({}, lambda address: None, broken.append)
        links.send("127.0.0.1:1", Digest(()))
        await asyncio.sleep(0.5)
        await links.close()

    asyncio.run(scenario())
    assert_that(broken, Equals(["127.0.0.1:1"]))


def test_a_link_that_was_idle_is_not_reported(monkeypatch):
    monkeypatch.setattr(peer_links, "IDLE_TIMEOUT_S", 0.05)
    broken = []

    async def scenario():
        link = PeerLink("127.0.0.1:1", {})
        never = asyncio.get_running_loop().create_future()
        monkeypatch.setattr(link, "_run_stream", lambda on_open: link._send_all(None, never))
        await link.run(lambda: None, lambda: broken.append("broken"))

    asyncio.run(scenario())
    assert_that(broken, Equals([]))
