"""What nodes tell each other on request: the configuration as written, and the endpoint list.

Both are compressed, since many nodes ask at the same moment and some have narrow links.
"""

import base64
import random
import zlib
from collections.abc import Callable
from functools import lru_cache

import orjson
from springbridge.membership import Membership
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointEntry, EndpointSnapshot

from springbridge_node.gateway.config.configuration_follower import ConfigurationFollower
from springbridge_node.gateway.config.endpoint_follower import AgedSnapshot
from springbridge_node.gateway.config.platform_store import ConfigurationDocument
from springbridge_node.gateway.http.calls import Caller, CallFailedError
from springbridge_node.gateway.http.small_server import Handler, Reply

CONFIGURATION_PATH = "/peer/configuration"
ENDPOINTS_PATH = "/peer/engines"
PEERS_ASKED = 2
TIMEOUT_S = 0.8
COMPRESSION_LEVEL = 1
COMPRESSED = "application/zlib"


def peer_handlers(
    configuration: Callable[[], ConfigurationFollower], registry: EndpointRegistry
) -> dict[str, Handler]:
    """Return the handlers that answer peers."""

    def tell_configuration(query: dict[str, str]) -> Reply:
        document = configuration().document
        if document is None:
            return Reply(404)
        return _configuration_reply(document)

    def tell_endpoints(query: dict[str, str]) -> Reply:
        if registry.revision < 0:
            return Reply(404)
        return _reply(
            {
                "revision": registry.revision,
                "age_s": registry.age_s(),
                "entries": [_endpoint_row(entry) for entry in registry.entries()],
            }
        )

    return {CONFIGURATION_PATH: tell_configuration, ENDPOINTS_PATH: tell_endpoints}


class PeerClient:
    """Asks peers for what this node lacks."""

    def __init__(self, membership: Membership, seeds: Callable[[], list[str]]) -> None:
        """Keep the membership, and the addresses to ask while no peer is known."""
        self._membership = membership
        self._seeds = seeds

    async def configuration_after(self, version: int) -> ConfigurationDocument | None:
        """Return the newest configuration that a peer has, if it is newer than a version."""
        ahead = [
            member.peer_address
            for member in self._membership.reachable()
            if member.config_version > version
        ]
        for address in _some(ahead or self._seeds()):
            told = await _ask(address, CONFIGURATION_PATH)
            if told is not None and told["version"] > version:
                return ConfigurationDocument(told["version"], base64.b64decode(told["document"]))
        return None

    async def endpoints(self, peer: str | None) -> AgedSnapshot | None:
        """Return the list of endpoints that a peer has, or the youngest that a few peers have."""
        peers = [member.peer_address for member in self._membership.reachable()] or self._seeds()
        asked = [peer] if peer else _some(peers)
        told = [await _ask(address, ENDPOINTS_PATH) for address in asked]
        lists = [_aged_snapshot(each) for each in told if each is not None]
        return min(lists, key=lambda aged: aged.age_s, default=None)


def _some(addresses: list[str]) -> list[str]:
    """Return a few addresses by chance."""
    return random.sample(addresses, min(PEERS_ASKED, len(addresses)))


def _aged_snapshot(told: dict) -> AgedSnapshot:
    """Return a list of endpoints as a peer tells it."""
    entries = tuple(EndpointEntry(*row) for row in told["entries"])
    return AgedSnapshot(EndpointSnapshot(told["revision"], entries), told["age_s"])


async def _ask(address: str, path: str) -> dict | None:
    """Return what a peer tells, or None."""
    caller = Caller(address)
    try:
        answer = await caller.call("GET", path, timeout_s=TIMEOUT_S)
        return orjson.loads(zlib.decompress(answer.body)) if answer.status == 200 else None
    except (CallFailedError, zlib.error, ValueError):
        return None
    finally:
        caller.close()


@lru_cache(maxsize=1)
def _configuration_reply(document: ConfigurationDocument) -> Reply:
    """Return the answer to those that ask for a configuration, made once for all of them."""
    raw = base64.b64encode(document.raw).decode()
    return _reply({"version": document.version, "document": raw})


def _reply(told: dict) -> Reply:
    """Return an answer."""
    return Reply(200, zlib.compress(orjson.dumps(told), COMPRESSION_LEVEL), COMPRESSED)


def _endpoint_row(entry: EndpointEntry) -> list:
    """Return an endpoint as it travels, in the order of the record's fields."""
    return [
        entry.endpoint_id,
        entry.service,
        entry.address,
        entry.failure_domain,
        entry.slots,
        entry.draining,
    ]
