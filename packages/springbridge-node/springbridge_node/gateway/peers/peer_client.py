"""Fetches from peers what this node lacks: the configuration and the list of endpoints.

Peers spare the store most calls, and they help a node that the store turns away. While no peer is
known, the seeds of the settings are asked.
"""

import random
import zlib
from collections.abc import Callable
from typing import TypeVar

from springbridge.membership import Membership

from springbridge_node import logs
from springbridge_node.gateway.config.endpoint_follower import AgedSnapshot
from springbridge_node.gateway.config.platform_store import ConfigurationDocument
from springbridge_node.gateway.http.calls import CallFailedError, HttpClient
from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.peer_handlers import CONFIGURATION_PATH, ENDPOINTS_PATH

# Peers that are asked for the same. Two, so that one dead peer among them does no harm.
PEERS_ASKED = 2
# Seconds that a peer has to reply. It stays under the 1.1 s for which a list counts as confirmed.
TIMEOUT_S = 0.8
# The status of a peer that has what was asked for.
OK = 200
# What codec.py raises on a body that no node sends.
UNREADABLE = (ValueError, TypeError, KeyError, IndexError)

T = TypeVar("T")


class PeerClient:
    """Asks peers for what this node lacks."""

    def __init__(self, membership: Membership, seeds: Callable[[], list[str]]) -> None:
        """Keep the membership, and the addresses to ask while no peer is known."""
        self._membership = membership
        self._seeds = seeds

    async def configuration_after(self, version: int) -> ConfigurationDocument | None:
        """Return a configuration newer than a version from the first peer that gives one."""
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
        """Return a peer's list of endpoints.

        Args:
          peer: Address of the peer; None for the youngest list that a few peers have.
        """
        peers = [member.peer_address for member in self._membership.reachable()] or self._seeds()
        asked = [peer] if peer else _sample(peers)
        replies = [await _fetch(address, ENDPOINTS_PATH, codec.read_snapshot) for address in asked]
        snapshots = [aged for aged in replies if aged is not None]
        return min(snapshots, key=lambda aged: aged.age_s, default=None)


def _sample(addresses: list[str]) -> list[str]:
    """Return up to PEERS_ASKED of the addresses, chosen at random."""
    return random.sample(addresses, min(PEERS_ASKED, len(addresses)))


async def _fetch(address: str, path: str, read: Callable[[dict], T]) -> T | None:
    """Return what a peer replies, or None if it gives nothing or nothing that can be read.

    A failure is logged: at most PEERS_ASKED lines for each step of the task that asks, and those
    steps are 0.2 s apart or more.
    """
    client = HttpClient(address)
    try:
        answer = await client.call("GET", path, timeout_s=TIMEOUT_S)
        # No line for another status: the peer has started a moment ago and has nothing to give.
        return read(codec.decompress(answer.body)) if answer.status == OK else None
    except (CallFailedError, zlib.error, *UNREADABLE) as exc:
        logs.event("peers.fetch_failed", address=address, path=path, detail=str(exc))
        return None
    finally:
        client.close()
