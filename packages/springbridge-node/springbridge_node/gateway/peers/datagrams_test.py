"""Tests of datagrams.py: the socket of a node."""

import asyncio
import random
import socket
import time

from springbridge.membership import Member, Membership
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node import logs
from springbridge_node.gateway.peers.datagrams import PeerDatagrams

IP = "127.0.0.1"


def test_a_node_that_ends_frees_its_port():
    # Without close(), a node holds its port until garbage collection, and a later bind fails with
    # "Address already in use".
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind((IP, 0))
        port = free.getsockname()[1]
    membership = Membership(Member("n", "n", f"{IP}:1", "", "a"), time.monotonic, random.Random(1))

    async def body():
        datagrams = await PeerDatagrams.open(membership, IP, port)
        datagrams.close()
        await asyncio.sleep(0)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as again:
            again.bind((IP, port))

    asyncio.run(body())


def test_datagrams_that_cannot_be_read_are_dropped_with_one_line_a_second(monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append((name, fields)))

    async def body():
        datagrams = PeerDatagrams(None, 7000)
        datagrams.datagram_received(b"no json", (IP, 1))
        datagrams.datagram_received(b"[99,[]]", (IP, 1))

    asyncio.run(body())
    expected = ("peers.datagram_dropped", {"sender": IP, "kind": "JSONDecodeError"})
    assert_that(lines, Equals([expected]))
