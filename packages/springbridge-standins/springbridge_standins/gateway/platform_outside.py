"""The ports of the users' platform for programs of the stand-ins that run nodes in one process."""

from springbridge_node.gateway.outside import PlatformPorts


def platform_outside(store_address: str) -> PlatformPorts:
    """Return the ports of a node whose store is at an address; it has no duties."""
    # Imported here: the stand-ins can be used without the platform.
    from springbridge_platform.documents import read_configuration
    from springbridge_platform.handlers import directory_handlers, ready_handlers
    from springbridge_platform.health_checks import PlatformHealthChecks
    from springbridge_platform.store import HttpPlatformStore
    from springbridge_platform.wire_format import PlatformRequestCodec

    return PlatformPorts(
        store=HttpPlatformStore(store_address),
        read_configuration=read_configuration,
        codec=PlatformRequestCodec(),
        checks=PlatformHealthChecks(),
        ready_handlers=ready_handlers,
        directory_handlers=directory_handlers,
    )
