"""Communication between nodes: peer discovery, gossip and the messages nodes exchange.

    datagrams          the UDP socket for messages that may be lost
    codec, statement_rows, crash_rows
                       encoding of datagram rows and HTTP bodies
    heartbeats, gossip this node's heartbeat, and the digests that carry all members' heartbeats
    peer_discovery     finds peers through the store when the configured seeds do not answer
    peer_client, peer_handlers, config_catch_up
                       fetch a newer configuration or endpoint list from a peer
    load_sharing       load notices about requests at endpoints
    coordinator_set, selection_client, selection_server, selection_messages
                       in a large fleet: coordinators select endpoints for the other nodes

springbridge/membership.py decides which members are alive, springbridge/routing/coordinators.py
which are coordinators.
"""
