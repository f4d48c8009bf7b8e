"""Computes the fingerprint by which a request is recognized when it is sent again.

See springbridge/fingerprints.py.
"""

from springbridge.fingerprints import fingerprint

from springbridge_node.gateway.requests.exchange import Exchange


def fingerprint_of(exchange: Exchange) -> str:
    """Return the fingerprint of a request, computed at the first call.

    It is computed lazily because most requests never need it and hashing their bodies costs time.
    """
    progress = exchange.progress
    if not progress.fingerprint:
        progress.fingerprint = _fingerprint(exchange)
    return progress.fingerprint


def _fingerprint(exchange: Exchange) -> str:
    """Hash the customer and the parts of the request that the endpoint gets."""
    request, arrival = exchange.request, exchange.admitted.arrival
    return fingerprint(
        exchange.admitted.customer.encode(),
        arrival.host.lower().encode(),
        request.method.encode(),
        request.target.encode(),
        request.body,
    )
