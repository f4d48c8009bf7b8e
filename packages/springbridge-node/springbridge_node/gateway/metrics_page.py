"""Updates the gauges of a node's metrics at each scrape."""

import os
from typing import TYPE_CHECKING

from springbridge_node import logs
from springbridge_node.gateway import bounded_log

METRICS_PATH = "/metrics"
# Lists the open descriptors of this process.
DESCRIPTORS_FOLDER = "/proc/self/fd"

if TYPE_CHECKING:
    from springbridge_node.gateway.gateway import Gateway


def set_gauges(gateway: "Gateway") -> None:
    """Set all gauges to their current values."""
    telemetry = gateway.telemetry
    telemetry.nodes.set(gateway.live_node_count())
    telemetry.quarantined.set(gateway.quarantine_parts.quarantined_count())
    telemetry.quarantined_parts.set(gateway.quarantine_parts.quarantined_part_sets())
    telemetry.endpoints.set(len(gateway.registry.entries()))
    reported = len(gateway.registry.reported_unreachable())
    telemetry.unreachable_endpoints.labels("peer").set(reported)
    unreachable = len(gateway.registry.unreachable_endpoints())
    telemetry.unreachable_endpoints.labels("self").set(unreachable)
    telemetry.lost_paths.set(len(gateway.path_parts.paths.lost()))
    telemetry.tunnels.set(gateway.path_parts.tunnel_server.count)
    telemetry.limited_endpoints.set(len(gateway.rates.table.limited()))
    telemetry.brittle_endpoints.set(len(gateway.places.table.limited()))
    telemetry.cold_endpoints.set(len(gateway.rates.table.cold()))
    telemetry.endpoint_rate.clear()
    for incarnation in gateway.rates.table.limited():
        rate = telemetry.endpoint_rate.labels(incarnation.endpoint_id)
        rate.set(gateway.rates.table.per_s(incarnation))
    known = gateway.registry.known_incarnations()
    statements = gateway.registry.statements
    telemetry.leaving_endpoints.set(len(known.intersection(statements.leaving())))
    telemetry.resting_endpoints.set(sum(1 for _ in statements.resting()))
    telemetry.evacuated_domains.set(len(gateway.evacuations.domains))
    telemetry.list_age.set(gateway.registry.age_s())
    telemetry.unreadable_endpoints.set(gateway.endpoints.unreadable.count)
    for table, count in gateway.unreadable_rows().items():
        telemetry.unreadable_rows.labels(table).set(count)
    telemetry.config_version.set(gateway.configuration.version)
    for where, count in logs.FAULTS.items():
        telemetry.faults.labels(where).set(count)
    telemetry.store_up.set(int(gateway.endpoints.dependency.up))
    telemetry.suspensions.set(gateway.heartbeats.suspensions)
    gateway.intake.set_gauges()
    telemetry.open_descriptors.set(_open_descriptors())
    telemetry.store_steps.set(gateway.store_steps)
    telemetry.dropped_lines.set(bounded_log.dropped())
    if gateway.duties is not None:
        gateway.duties.set_gauges(telemetry)


def _open_descriptors() -> int:
    """Return how many descriptors the process has open, 0 where the system does not tell."""
    try:
        return len(os.listdir(DESCRIPTORS_FOLDER))
    except OSError:
        # Some systems do not list them; the connections by listener are known all the same.
        return 0
