"""Tests of datagrams.py: the socket of a node."""

import asyncio
import random
import socket
import time

from springbridge.membership import Member, Membership

from springbridge_node.gateway.peers.datagrams import PeerDatagrams

IP = "127.0.0.1"


def test_a_node_that_ends_frees_its_port():
    # Seen once in a run of all tests: "Address already in use", as nodes of earlier tests held
    # their ports until their memory was collected.
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
