"""Fetches the configuration, the endpoint list and crash records from peers over HTTP.

Fetching from peers spares the store most calls, and serves a node whose calls the store refuses.
While no peer is known, the configured seeds are asked.
"""

import asyncio
import random
import zlib
from collections.abc import Callable
from typing import TypeVar

from springbridge.crash_records import CrashReport
from springbridge.membership import Membership

from springbridge_node import logs
from springbridge_node.gateway.config.endpoint_follower import AgedSnapshot
from springbridge_node.gateway.config.platform_store import ConfigurationDocument
from springbridge_node.gateway.http.calls import CallFailedError, HttpClient
from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.peer_handlers import (
    CONFIGURATION_PATH,
    CRASH_RECORDS_PATH,
    ENDPOINTS_PATH,
)

# Maximum number of peers asked for the same data. Two, so that one dead peer does not prevent a
# reply.
MAX_QUERIED_PEERS = 2
# Seconds for which a node that starts waits for a peer, some round trips. A peer that does not
# answer in that time may be gone, and callers wait for this node.
STARTUP_TIMEOUT_S = 0.3
# Timeout of a call in seconds. Below the 1.1 s for which an endpoint list counts as confirmed.
TIMEOUT_S = 0.8
# Status of a reply that has the requested data.
OK = 200
# Exceptions that codec.py raises on a malformed body.
DECODE_ERRORS = (ValueError, TypeError, KeyError, IndexError)

T = TypeVar("T")


class PeerClient:
    """Fetches configurations, endpoint lists and crash records from peers."""

    def __init__(self, membership: Membership, seeds: Callable[[], list[str]]) -> None:
        """Create a client.

        Args:
          membership: Has the peers to ask.
          seeds: Returns the addresses to ask while no peer is known.
        """
        self._membership = membership
        self._seeds = seeds

    async def configuration_after(self, version: int) -> ConfigurationDocument | None:
        """Return a configuration newer than a version from the first peer that has one, or None."""
        ahead = [
            member.peer_address
            for member in self._membership.reachable()
            if member.config_version > version
        ]
        for address in _sample(ahead or self._seeds()):
            document = await _fetch(address, CONFIGURATION_PATH, codec.read_configuration)
            if document is not None and document.version > version:
                return document
        return None

    async def endpoints(self, peer: str | None) -> AgedSnapshot | None:
        """Return a peer's endpoint list, or None if no peer that was asked has one.

        Args:
          peer: Address of the peer; None for the most recent list among a few random peers.
        """
        peers = [member.peer_address for member in self._membership.reachable()] or self._seeds()
        asked = [peer] if peer else _sample(peers)
        replies = [await _fetch(address, ENDPOINTS_PATH, codec.read_snapshot) for address in asked]
        snapshots = [aged for aged in replies if aged is not None]
        return min(snapshots, key=lambda aged: aged.age_s, default=None)

    async def crash_records(self) -> list[CrashReport]:
        """Return the records of requests under suspicion of a few random peers.

        A node that starts waits for them, so the peers are asked at the same time and those that
        take longer than STARTUP_TIMEOUT_S are passed over.
        """
        peers = [member.peer_address for member in self._membership.reachable()] or self._seeds()
        fetches = [
            asyncio.ensure_future(_fetch(address, CRASH_RECORDS_PATH, codec.read_crash_records))
            for address in _sample(peers)
        ]
        if not fetches:
            return []
        done, late = await asyncio.wait(fetches, timeout=STARTUP_TIMEOUT_S)
        for each in late:
            each.cancel()
        if late:
            logs.event("peers.crash_records_late", asked=len(fetches), late=len(late))
        # Those that are done have a result: a fetch catches what it meets, and none is cancelled.
        return [record for fetch in done for record in fetch.result() or ()]


def _sample(addresses: list[str]) -> list[str]:
    """Return up to MAX_QUERIED_PEERS addresses, chosen at random."""
    return random.sample(addresses, min(MAX_QUERIED_PEERS, len(addresses)))


async def _fetch(address: str, path: str, read: Callable[[dict], T]) -> T | None:
    """Return a peer's decoded reply, or None if it has no data or its reply is malformed.

    A failure is logged: at most MAX_QUERIED_PEERS lines for each step of the calling task, whose
    steps are 0.2 s or more apart, and as many when the node starts.
    """
    client = HttpClient(address)
    try:
        answer = await client.call("GET", path, timeout_s=TIMEOUT_S)
        # Another status is not logged: the peer has just started and has no data yet.
        return read(codec.decompress(answer.body)) if answer.status == OK else None
    except (CallFailedError, zlib.error, *DECODE_ERRORS) as exc:
        logs.event("peers.fetch_failed", address=address, path=path, detail=str(exc))
        return None
    except Exception as exc:
        # No peer's reply may keep a node from its start, or from another peer's.
        logs.fault(exc, "fetch from peer")
        return None
    finally:
        client.close()
