"""The gateway's metrics, served as text on the metrics address."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

# Upper bounds of the buckets, in seconds. Finest below one second, the usual target for the time to
# the first piece of an answer.
FIRST_PIECE_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.35, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0)


class Telemetry:
    """The metrics of one node; docs/OPERATIONS.md lists them.

    Counters and the histogram are updated as requests end, gauges when the metrics are scraped.
    """

    def __init__(self) -> None:
        """Create all metrics at zero."""
        self.registry = CollectorRegistry()
        self._make_counters()
        self._make_gauges()
        self._make_duty_gauges()
        self._make_operator_gauges()
        self._make_rate_metrics()
        self._make_statement_metrics()

    def _make_counters(self) -> None:
        """Create the metrics that are updated as requests end."""
        self.requests = Counter(
            "springbridge_requests", "Ended requests", ["route", "result"], registry=self.registry
        )
        self.attempts = Counter(
            "springbridge_failed_attempts",
            "Attempts that did not deliver",
            ["end"],
            registry=self.registry,
        )
        self.answers = Counter(
            "springbridge_answers",
            "Answers of engines, by how they ended",
            ["end"],
            registry=self.registry,
        )
        self.broken_heads = Counter(
            "springbridge_broken_heads",
            "Answers of engines whose heads were broken, by what was wrong",
            ["fault"],
            registry=self.registry,
        )
        self.taken_up = Counter(
            "springbridge_streams_taken_up",
            "Requests that took up a stream again, by where its version was known from",
            ["known_from", "result"],
            registry=self.registry,
        )
        self.crashes = Counter(
            "springbridge_engine_crashes",
            "Requests that were running when an engine ended",
            ["standing"],
            registry=self.registry,
        )
        self.inbound_refusals = Counter(
            "springbridge_inbound_refusals",
            "Requests that were not read to their end, and connections closed for others",
            ["listener", "kind"],
            registry=self.registry,
        )
        self.part_refusals = Counter(
            "springbridge_part_refusals",
            "Requests refused because parts of their prompts end engines",
            registry=self.registry,
        )
        self.first_piece = Histogram(
            "springbridge_first_piece_seconds",
            "Arrival to first piece of the answer",
            ["route"],
            buckets=FIRST_PIECE_BUCKETS_S,
            registry=self.registry,
        )

    def _make_gauges(self) -> None:
        """Create the general gauges, which are set at each scrape."""
        self.config_version = Gauge(
            "springbridge_config_version", "Version in force", registry=self.registry
        )
        self.inbound_bytes = Gauge(
            "springbridge_inbound_bytes",
            "Bytes that clients make the node hold",
            registry=self.registry,
        )
        self.inbound_connections = Gauge(
            "springbridge_inbound_connections",
            "Connections that clients have opened",
            ["listener"],
            registry=self.registry,
        )
        self.open_descriptors = Gauge(
            "springbridge_open_descriptors", "Open descriptors", registry=self.registry
        )
        self.endpoints = Gauge("springbridge_engines", "Engines listed", registry=self.registry)
        self.unreachable_endpoints = Gauge(
            "springbridge_unreachable_engines",
            "Engines to which no connection came up, by who found that",
            ["found_by"],
            registry=self.registry,
        )
        self.lost_paths = Gauge(
            "springbridge_lost_paths",
            "Engines that this node does not reach and peers do",
            registry=self.registry,
        )
        self.tunnels = Gauge(
            "springbridge_tunnels",
            "Connections to engines that this node keeps up for peers",
            registry=self.registry,
        )
        self.list_age = Gauge(
            "springbridge_list_age_seconds",
            "Age of the engine list in use; infinite before the first",
            registry=self.registry,
        )
        self.unreadable_endpoints = Gauge(
            "springbridge_unreadable_engines",
            "Entries of the engine list, as this node last read it, that name no engine",
            registry=self.registry,
        )
        self.unreadable_rows = Gauge(
            "springbridge_unreadable_rows",
            "Rows of a table, as this node last read it, that cannot be read",
            ["table"],
            registry=self.registry,
        )
        self.nodes = Gauge("springbridge_live_nodes", "Nodes alive", registry=self.registry)
        self.store_up = Gauge(
            "springbridge_store_up", "1 while the store answers", registry=self.registry
        )
        self.quarantined = Gauge(
            "springbridge_quarantined_requests",
            "Requests that are kept from engines because they end them",
            registry=self.registry,
        )
        self.quarantined_parts = Gauge(
            "springbridge_quarantined_parts",
            "Sets of parts of prompts that are kept from engines because they end them",
            registry=self.registry,
        )
        self.suspensions = Gauge(
            "springbridge_suspensions",
            "Times that the machine was suspended since the start",
            registry=self.registry,
        )
        self.store_steps = Gauge(
            "springbridge_store_steps",
            "Times that the store came back from an older copy",
            registry=self.registry,
        )
        self.faults = Gauge(
            "springbridge_faults",
            "Unexpected exceptions since the start, by the part that met them",
            ["where"],
            registry=self.registry,
        )
        self.dropped_lines = Gauge(
            "springbridge_dropped_log_lines", "Log lines not written", registry=self.registry
        )

    def _make_duty_gauges(self) -> None:
        """Create the gauges of the lease and of the duty calls."""
        self.lease_token = Gauge(
            "springbridge_lease_token",
            "Fencing token while this node holds the lease of the duties, else 0",
            registry=self.registry,
        )
        self.duty_calls = Gauge(
            "springbridge_duty_calls",
            "Duty calls of this node since its start",
            ["result"],
            registry=self.registry,
        )

    def _make_operator_gauges(self) -> None:
        """Create the gauges of cold endpoints and evacuated failure domains."""
        self.cold_endpoints = Gauge(
            "springbridge_cold_engines",
            "Engines that are cold, or may be, and have a rate for it",
            registry=self.registry,
        )
        self.evacuated_domains = Gauge(
            "springbridge_evacuated_domains",
            "Failure domains that the operators evacuate, as this node knows",
            registry=self.registry,
        )

    def _make_rate_metrics(self) -> None:
        """Create the metrics of the request rates that endpoints announce."""
        self.permits = Counter(
            "springbridge_rate_permits",
            "Permits that requests asked for, to be sent to engines that name a rate",
            ["answer"],
            registry=self.registry,
        )
        self.rate_refusals = Counter(
            "springbridge_rate_refusals",
            "Requests refused since the rates of their engines were spent",
            registry=self.registry,
        )
        self.limited_endpoints = Gauge(
            "springbridge_limited_engines",
            "Engines that name a rate which they take",
            registry=self.registry,
        )
        self.brittle_endpoints = Gauge(
            "springbridge_brittle_engines",
            "Engines that name how many rejections a second they can stand",
            registry=self.registry,
        )
        self.endpoint_rate = Gauge(
            "springbridge_engine_rate",
            "Requests a second that an engine names as what it takes from all nodes together",
            ["engine"],
            registry=self.registry,
        )

    def _make_statement_metrics(self) -> None:
        """Create the metrics of further statements of endpoints: leaving and rest."""
        self.leaving_endpoints = Gauge(
            "springbridge_leaving_engines",
            "Engines that have told this node that they leave",
            registry=self.registry,
        )
        self.resting_endpoints = Gauge(
            "springbridge_resting_engines",
            "Engines that have asked this node for a rest which goes on",
            registry=self.registry,
        )
        self.rests = Counter(
            "springbridge_rests", "Answers that asked for rest", registry=self.registry
        )
        self.rest_refusals = Counter(
            "springbridge_rest_refusals",
            "Requests refused since all their engines rest",
            registry=self.registry,
        )
        self.unknown_headers = Counter(
            "springbridge_unknown_headers",
            "Headers of engines' answers that this build does not know",
            ["header"],
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
