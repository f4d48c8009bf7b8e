"""Peers: how nodes find each other, and what they send each other.

    datagrams          the socket for messages that may be lost
    codec              rows and bodies as they are sent
    heartbeats, gossip this node's heartbeat, and the digests that carry all members'
    peer_discovery     peers beyond the seeds, from the store
    peer_client, peer_handlers, config_catch_up
                       configuration and endpoint list, fetched from a peer that has a newer one
    load_sharing       notices of requests at endpoints
    coordinator_set, selection_client, selection_server, selection_messages
                       in a large fleet: coordinators select endpoints for the other nodes

Who is alive is decided in springbridge/membership.py, who is a coordinator in
springbridge/routing/coordinators.py.
"""
