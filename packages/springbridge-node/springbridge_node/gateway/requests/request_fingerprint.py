"""The fingerprint of a request in progress; see springbridge/fingerprints.py."""

from springbridge.fingerprints import fingerprint

from springbridge_node.gateway.requests.exchange import Exchange


def fingerprint_of(exchange: Exchange) -> str:
    """Return the fingerprint of a request, computed at the first call.

    Most requests never need it: hashing their bodies would be work for nothing.
    """
    progress = exchange.progress
    if not progress.fingerprint:
        progress.fingerprint = _fingerprint(exchange)
    return progress.fingerprint


def _fingerprint(exchange: Exchange) -> str:
    """Return the fingerprint of what the endpoint gets, for whom."""
    request, arrival = exchange.request, exchange.admitted.arrival
    return fingerprint(
        exchange.admitted.customer.encode(),
        arrival.host.lower().encode(),
        request.method.encode(),
        request.target.encode(),
        request.body,
    )
