"""Readiness: when an instance may get callers.

Decides the answer to the platform's readiness check, and whether the instance sends heartbeats.
Inputs: whether it is leaving, and whether it has a configuration and an endpoint list of any age.
An instance that is not ready gets no callers and stays unknown to its peers.
Without configuration and list it could only refuse requests, and its peers would share the retry
budget and the connections to endpoints with an instance that uses neither. Old data is enough,
since it serves most requests and an outage of the store must not take the whole fleet out of
service.
"""


def is_ready(is_live: bool, has_configuration: bool, has_endpoint_list: bool) -> bool:
    """Return whether callers may be sent to an instance.

    Args:
      is_live: Whether the instance is neither leaving nor stopped.
    """
    return is_live and has_configuration and has_endpoint_list
