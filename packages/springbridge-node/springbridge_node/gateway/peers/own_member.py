"""This node as its peers will know it."""

import os

from springbridge.membership import Member

from springbridge_node.gateway.peers.peer_builds import FIRST_HEARTBEAT


def new_member(
    instance: str, peer_address: str, caller_address: str, failure_domain: str
) -> Member:
    """Return the member of a node that starts now, with an incarnation new at each start."""
    return Member(
        incarnation=os.urandom(5).hex(),
        instance=instance,
        peer_address=peer_address,
        caller_address=caller_address,
        failure_domain=failure_domain,
        heartbeat=FIRST_HEARTBEAT,
    )
