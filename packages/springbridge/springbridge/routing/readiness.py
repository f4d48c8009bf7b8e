"""When a node is ready, so that callers may be sent to it.

Decided: the answer to the platform's readiness check, and whether the node sends heartbeats.
Inputs: whether it is leaving, and whether it has a configuration and an endpoint list of any age.
Outcome: a node that is not ready gets no callers and stays unknown to its peers.
Why: without both it could only refuse, and peers would share the retry budget and the connections
to endpoints with a node that uses neither. Old data is enough, since it serves most requests and an
outage of the store must not take the whole fleet out of service.
"""


def is_ready(is_live: bool, has_configuration: bool, has_endpoint_list: bool) -> bool:
    """Return whether callers may be sent to a node.

    Args:
      is_live: Whether the node is neither leaving nor gone.
    """
    return is_live and has_configuration and has_endpoint_list
