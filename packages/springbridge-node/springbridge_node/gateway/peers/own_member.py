"""Creates the membership entry of this node."""

import os

from springbridge.membership import GossipTiming, Member, stretch_by_hops

from springbridge_node.gateway.gateway_settings import GatewaySettings
from springbridge_node.gateway.peers.peer_builds import FIRST_HEARTBEAT

# Each digest goes to three peers whatever the size of the fleet, one of them in another failure
# domain. A peer is suspected 1.2 s after its last heartbeat, more than four heartbeat intervals; in
# a larger fleet the timeout grows with the number of gossip hops.
PACE = GossipTiming(fanout=3, suspect_s=1.2, stretch=stretch_by_hops)


def new_member(
    instance: str, peer_address: str, caller_address: str, failure_domain: str
) -> Member:
    """Return the member for a node that starts now, with a new random incarnation."""
    return Member(
        incarnation=os.urandom(5).hex(),
        instance=instance,
        peer_address=peer_address,
        caller_address=caller_address,
        failure_domain=failure_domain,
        heartbeat=FIRST_HEARTBEAT,
    )


def member_of(settings: GatewaySettings) -> Member:
    """Return the member for a node that starts with these settings."""
    return new_member(
        settings.name,
        settings.addresses.peers,
        settings.addresses.callers,
        settings.failure_domain,
    )
