"""Fixtures of the routing tests: routes, requests and registries of endpoints."""

from dataclasses import replace

import pytest

from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import (
    Admitted,
    Arrival,
    Demand,
    EndpointEntry,
    EndpointSnapshot,
    PromptPart,
    Route,
    Service,
    WeightedService,
)

MODEL = "model"
SERVICE = "matching"


def make_route(name="r", prefix="/r/", **fields):
    """Return a repeatable route; fields override the defaults."""
    plain = {
        "name": name,
        "host": "desk.example",
        "path_prefix": prefix,
        "services": (WeightedService(MODEL, 1.0),),
        "streaming": False,
        "repeatable": True,
        "resumable": False,
        "timeout_s": 3.0,
        "target_s": 0.5,
        "pause_s": 0.0,
        "priority": 2,
        "max_endpoints": 2,
        "needs_key": True,
    }
    return Route(**(plain | fields))


def make_arrival(request_id="q", path="/r/x", key="key-1", parts=(), **fields):
    """Return a request; parts are pairs of a name and tokens."""
    prompt_parts = tuple(PromptPart(name, tokens) for name, tokens in parts)
    prompt_tokens = sum(tokens for _, tokens in parts)
    return Arrival(
        request_id,
        "desk.example",
        path,
        key,
        1000.0,
        prompt_parts=prompt_parts,
        prompt_tokens=prompt_tokens,
        **fields,
    )


def make_admitted(parts=(), fetches=True, **fields):
    """Return an admitted request with a prompt."""
    arrival = make_arrival(parts=parts, **fields)
    service = Service(MODEL, "/healthz", 100, 500_000, fetches)
    return Admitted(arrival, make_route(), service, "councils", 2, 1, 1003.0)


def make_demand(parts=(), fetches=True, failure_domain="perth-a", **fields):
    """Return the demand of a request with a prompt."""
    return replace(Demand.from_admitted(make_admitted(parts, fetches), failure_domain), **fields)


def make_snapshot(revision, *names, draining=()):
    """Return a list of plain endpoints, some of which drain."""
    ids = [(name, False) for name in names] + [(name, True) for name in draining]
    return EndpointSnapshot(
        revision,
        tuple(
            EndpointEntry(name, SERVICE, "10.0.0.1:80", "perth-a", 4, drains)
            for name, drains in ids
        ),
    )


def usable_ids(registry):
    """Return the ids of the plain endpoints that may get a request."""
    return sorted(state.entry.endpoint_id for state in registry.candidates(SERVICE, ()))


@pytest.fixture
def registry(clock):
    """Return a registry of four plain endpoints."""
    registry = EndpointRegistry(clock)
    registry.install(make_snapshot(1, "a", "b", "c", "d"), {}, 0.0)
    return registry


@pytest.fixture
def endpoints(clock):
    """Return a registry of five model endpoints in one failure domain."""
    registry = EndpointRegistry(clock)
    entries = tuple(
        EndpointEntry(f"e{number}", MODEL, f"10.0.0.{number}:80", "perth-a", 64, False)
        for number in range(5)
    )
    registry.install(EndpointSnapshot(1, entries), {MODEL: 500_000}, 0.0)
    return registry
