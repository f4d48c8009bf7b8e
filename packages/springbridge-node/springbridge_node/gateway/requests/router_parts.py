"""The parts that serving a request takes."""

from collections.abc import Callable
from dataclasses import dataclass

from springbridge.routing.admission import RouteIndex
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.paths import PathTable
from springbridge.routing.shared_retry_budget import SharedRetryBudget

from springbridge_node.gateway.endpoints.end_verification import EndVerification
from springbridge_node.gateway.endpoints.pool import ConnectionPool
from springbridge_node.gateway.endpoints.stall_check import StallCheck
from springbridge_node.gateway.peers.load_sharing import LoadSharing
from springbridge_node.gateway.requests.crash_gate import CrashGate
from springbridge_node.gateway.requests.endpoint_selector import EndpointSelector
from springbridge_node.gateway.requests.place_gate import PlaceGate
from springbridge_node.gateway.requests.rate_parts import RateParts
from springbridge_node.gateway.requests.request_codec import RequestCodec
from springbridge_node.gateway.requests.request_log import RequestLog
from springbridge_node.gateway.requests.rest_refusals import RestRefusals
from springbridge_node.gateway.requests.stream_versions import StreamVersions
from springbridge_node.gateway.requests.usage_meter import UsageMeter


@dataclass(frozen=True)
class RouterParts:
    """Dependencies of a router.

    Attributes:
      index: Returns the newest configuration, or None before the first.
      configuration_retry_after_s: Returns the seconds after which callers should retry while there
        is no configuration yet.
      failure_domain: Failure domain of this instance.
    """

    index: Callable[[], RouteIndex | None]
    configuration_retry_after_s: Callable[[], float]
    registry: EndpointRegistry
    paths: PathTable
    stalls: StallCheck
    ends: EndVerification
    pool: ConnectionPool
    budget: SharedRetryBudget
    codec: RequestCodec
    selector: EndpointSelector
    request_log: RequestLog
    loads: LoadSharing
    gate: CrashGate
    failure_domain: str
    usage: UsageMeter
    rates: RateParts
    places: PlaceGate
    rest_refusals: RestRefusals
    streams: StreamVersions
