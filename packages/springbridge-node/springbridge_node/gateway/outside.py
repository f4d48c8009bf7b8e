"""The platform-specific parts of a node: store, formats, small interfaces and duty calls."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from springbridge_node.gateway.callers.directory import AddressBook
from springbridge_node.gateway.config.platform_store import ConfigurationParser, PlatformStore
from springbridge_node.gateway.duties.duty_platform import DutyPlatform
from springbridge_node.gateway.endpoints.health_checks import HealthCheckCodec
from springbridge_node.gateway.http.small_server import Handler
from springbridge_node.gateway.requests.request_codec import RequestCodec


@dataclass(frozen=True)
class PlatformPorts:
    """The ports of a node to its platform.

    Attributes:
      checks: Addresses health checks to runs of endpoints.
      ready_handlers: Creates the handlers of the ready address, given the readiness check.
      directory_handlers: Creates the handlers of the directory address, given the address book.
      duties: The platform's duty calls, or None if it has none.
    """

    store: PlatformStore
    read_configuration: ConfigurationParser
    codec: RequestCodec
    checks: HealthCheckCodec
    ready_handlers: Callable[[Callable[[], bool]], Mapping[str, Handler]]
    directory_handlers: Callable[[AddressBook], Mapping[str, Handler]]
    duties: DutyPlatform | None = None
