"""Records of routing: the operators' configuration, the endpoint list and the facts of a request.

All are frozen, and the functions over them are in the other modules of this package. Names that end
in _s hold seconds; moments are seconds of the instance's monotonic clock.
The defaults stand for what the operators leave out.
"""

from dataclasses import dataclass, field

from springbridge.duties.scaling import ScalingLimits

# Rank of a route without a priority. The middle of the usual ones; for overload it is among the
# least urgent (overload.py).
NO_PRIORITY = 5
# Longest time in seconds for which a request is held.
DEFAULT_TIMEOUT_S = 60.0
# Target in seconds for the first event or the answer. overload.py derives from it how long a
# backlog may be.
DEFAULT_TARGET_S = 1.0
# Connections that an endpoint takes from all instances. The pool shares them out.
DEFAULT_MAX_CONNECTIONS = 100
# Size of a request's head in bytes. It bounds memory for each connection.
DEFAULT_HEADER_BYTES = 16384
# Size of a request's body in bytes, 4 MiB. It bounds memory for each request.
DEFAULT_BODY_BYTES = 4 << 20
# Seconds for the head of a request to arrive.
DEFAULT_HEADER_TIMEOUT_S = 3.0
# Seconds for which a connection may stay idle. It bounds how many are open.
DEFAULT_IDLE_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that a route sends to, and its share of the route's requests."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """What the operators want for the requests of one host and path prefix.

    Attributes:
      path_prefix: Begins and ends with a slash; the longest that matches a path wins.
      streaming: Whether the answer is a series of events.
      repeatable: Whether a request may run more than once.
      resumable: Whether a broken stream may continue at another endpoint.
      timeout_s: Longest time for which a request is held.
      target_s: Time to the first event, or to the answer, that the operators aim for.
      pause_s: Longest pause between events that the operators aim for, 0 if unknown; no decision
        uses it.
      priority: Rank of the route, 0 most urgent.
      max_endpoints: Largest number of endpoints to which one request may be sent.
      needs_key: Whether a caller has to show a customer's key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    streaming: bool
    repeatable: bool
    resumable: bool
    timeout_s: float = DEFAULT_TIMEOUT_S
    target_s: float = DEFAULT_TARGET_S
    pause_s: float = 0.0
    priority: int = NO_PRIORITY
    max_endpoints: int = 1
    needs_key: bool = True


@dataclass(frozen=True, slots=True)
class Service:
    """A kind of endpoint.

    Attributes:
      health_path: Path of an endpoint's health check; no decision uses it.
      max_connections: Connections that one endpoint takes from all instances together.
      token_capacity: Tokens of running requests and cached prompts that fit into an endpoint; 0 for
        plain services.
      fetches: Whether an endpoint can fetch what another one keeps of a prompt.
      scaling: Within which limits endpoints may be ordered; None if they may not.
      cold_per_s: Requests a second that a cold endpoint bears from all instances; 0 if unknown.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    token_capacity: int = 0
    fetches: bool = False
    scaling: ScalingLimits | None = None
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CustomerKeys:
    """A customer, its keys, and its priority if it has one of its own, 0 most urgent."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """How much a caller may send, and for how long its connection may stay idle.

    Attributes:
      header_timeout_s: Longest time for a head to arrive; nothing reads it, idle_timeout_s is used.
    """

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' configuration at one version; versions only grow.

    Attributes:
      keeps_customers: Whether the operators keep a list of customers, also an empty one: a caller
        without a customer's key is refused then on routes that need one.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[CustomerKeys, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    keeps_customers: bool = False


@dataclass(frozen=True, slots=True)
class EndpointIncarnation:
    """One run of an endpoint's process: an endpoint may start again under its id.

    Attributes:
      born_ms: Unix time of its start in milliseconds, by the endpoint's clock; None if it does not
        say. Only compared for equality, never with another clock.
    """

    endpoint_id: str
    born_ms: int | None


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One incarnation of an endpoint, as it is on the platform's list.

    Attributes:
      address: IP number and port. Another endpoint may have it later.
      slots: Requests that the endpoint runs at a time.
      draining: Whether the endpoint is about to leave and takes no new requests.
      born_ms: See EndpointIncarnation.
      spot: Whether the endpoint costs less and may be taken away at short notice.
      cold: Whether the endpoint says that it is cold; only of services that name a rate for it.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    born_ms: int | None = None
    spot: bool = False
    cold: bool = False

    @property
    def incarnation(self) -> EndpointIncarnation:
        """Return which run of the endpoint's process the entry is about."""
        return EndpointIncarnation(self.endpoint_id, self.born_ms)


@dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """An entry of the list that names no endpoint, because it cannot be read.

    Attributes:
      key: Where the entry stands on the list.
      reason: What is wrong with it, without its content.
      content_hash: Hash of its content, so that a changed entry can be told from the same one.
    """

    key: str
    reason: str
    content_hash: int


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The platform's list of endpoints at one revision; revisions only grow.

    Attributes:
      unreadable: Entries that the reader of the store had to pass over; not passed on to peers.
    """

    revision: int
    entries: tuple[EndpointEntry, ...]
    unreadable: tuple[UnreadableEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share, and its length in tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """What routing knows of a request. It never sees the content.

    Attributes:
      path: Path without the query.
      key: What the caller showed, or None.
      arrived_s: When the request had begun to arrive.
      patience_s: How long the caller waits, counted from arrived_s; None if it did not say.
      prompt_tokens: Length of the prompt; 0 if the caller did not say.
      answer_tokens: Longest answer asked for, 0 if the caller did not say; no decision uses it.
      resume_after: The last event that the caller has, or None; no decision uses it.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    arrived_s: float
    patience_s: float | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    resume_after: str | None = None


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that the configuration allows.

    Attributes:
      customer: Name of the customer, or "" on a route that needs no key.
      priority: Rank of the request, 0 most urgent.
      version: Version of the configuration that decided.
      deadline_s: Moment at which the request is given up.
    """

    arrival: Arrival
    route: Route
    service: Service
    customer: str
    priority: int
    version: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Demand:
    """What the choice of an endpoint has to know of a request.

    It travels to coordinators as a list of its fields, in this order.

    Attributes:
      failure_domain: Failure domain of the instance that will send it.
      priority: Rank of its route, 0 most urgent; not the customer's, since a whole kind of request
        must not starve behind a less urgent one.
      target_s: Time to the first event that the operators aim for.
      fetches: Whether an endpoint of the service can fetch what another one keeps of a prompt.
    """

    request_id: str
    service: str
    failure_domain: str
    priority: int
    target_s: float
    prompt_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    fetches: bool = False

    @classmethod
    def from_admitted(cls, admitted: Admitted, failure_domain: str) -> "Demand":
        """Return what the choice has to know of an admitted request.

        Args:
          failure_domain: Of this instance.
        """
        arrival = admitted.arrival
        return cls(
            request_id=arrival.request_id,
            service=admitted.service.name,
            failure_domain=failure_domain,
            priority=admitted.route.priority,
            target_s=admitted.route.target_s,
            prompt_tokens=arrival.prompt_tokens,
            prompt_parts=arrival.prompt_parts,
            fetches=admitted.service.fetches,
        )
