"""The operators' configuration of a soak: the usual routes, and those of harms' own services."""

from springbridge_standins.gateway.fleet import configuration, route
from springbridge_standins.gateway.soak import (
    continuations,
    crowds,
    departures,
    odd_rows,
    versions,
)


def soak_configuration(version: int) -> dict:
    """Return a version of the configuration; its content is the same in all."""
    plain = configuration(version)
    for name, service, attempts in (
        ("read", versions.SERVICE, 2),
        ("write", continuations.SERVICE, continuations.MAX_ATTEMPTS),
        ("leave", departures.SERVICE, 2),
    ):
        more = {"resumable": True, "maxAttempts": attempts}
        plain["routes"].append(route(name, "streaming", service, **more))
        plain["services"].append({"name": service, "healthPath": "/healthz", "maxConnections": 100})
    plain["routes"].append(route("rows", "safe", odd_rows.SERVICE))
    plain["services"].append({"name": odd_rows.SERVICE, "healthPath": "/healthz"})
    plain["routes"].append(route(crowds.SERVICE, "safe", crowds.SERVICE))
    plain["services"].append({"name": crowds.SERVICE, "healthPath": "/healthz"})
    return plain
