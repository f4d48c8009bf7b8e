"""HTTP handlers that serve this node's configuration, endpoint list and crash records to peers.

The bodies are compressed, since many nodes fetch them at the same moment and some have slow links.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache

from springbridge.crash_records import CrashReport
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.records import EndpointSnapshot

from springbridge_node.gateway.config.configuration_follower import ConfigurationFollower
from springbridge_node.gateway.config.endpoint_follower import AgedSnapshot
from springbridge_node.gateway.config.platform_store import ConfigurationDocument
from springbridge_node.gateway.http.small_server import Handler, Reply
from springbridge_node.gateway.peers import codec

CONFIGURATION_PATH = "/peer/configuration"
ENDPOINTS_PATH = "/peer/engines"
CRASH_RECORDS_PATH = "/peer/crashes"
COMPRESSED = "application/zlib"


def peer_handlers(
    configuration: Callable[[], ConfigurationFollower],
    registry: EndpointRegistry,
    suspects: Callable[[], Iterable[CrashReport]],
) -> dict[str, Handler]:
    """Return the handlers by path; each replies 404 while this node has no data.

    Args:
      suspects: Returns the records of the requests under suspicion.
    """

    def serve_configuration(query: dict[str, str]) -> Reply:
        document = configuration().document
        if document is None:
            return Reply(404)
        return Reply(200, _configuration_body(document), COMPRESSED)

    def serve_endpoints(query: dict[str, str]) -> Reply:
        if registry.revision < 0:
            return Reply(404)
        snapshot = EndpointSnapshot(registry.revision, registry.entries())
        body = codec.snapshot_body(AgedSnapshot(snapshot, registry.age_s()))
        return Reply(200, body, COMPRESSED)

    def serve_crash_records(query: dict[str, str]) -> Reply:
        if configuration().document is None:
            # It may not have been told of any itself yet.
            return Reply(404)
        return Reply(200, codec.crash_records_body(suspects()), COMPRESSED)

    return {
        CONFIGURATION_PATH: serve_configuration,
        ENDPOINTS_PATH: serve_endpoints,
        CRASH_RECORDS_PATH: serve_crash_records,
    }


@lru_cache(maxsize=1)
def _configuration_body(document: ConfigurationDocument) -> bytes:
    """Return the body of a configuration, encoded once for all peers that fetch it."""
    return codec.configuration_body(document)
