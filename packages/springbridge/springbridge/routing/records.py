"""Data classes of routing: the operators' configuration, the endpoint list and a request's facts.

All are frozen; the functions that use them are in the other modules of this package. Names ending
in _s hold seconds; points in time are seconds of the instance's monotonic clock.
The defaults apply to whatever the operators leave out.
"""

from dataclasses import dataclass, field

from springbridge.duties.scaling import ScalingLimits
from springbridge.item_reader import UnreadableItem

# Priority of a route that has none: the middle of the usual ones. For load shedding it is among the
# least urgent (overload.py).
NO_PRIORITY = 5
# Longest time in seconds for which a request is held.
DEFAULT_TIMEOUT_S = 60.0
# Target in seconds for the first event or the answer. overload.py derives the longest backlog from
# it.
DEFAULT_TARGET_S = 1.0
# Connections that an endpoint accepts from all instances together. The pool divides them up.
DEFAULT_MAX_CONNECTIONS = 100
# Maximum size of a request's head in bytes. It bounds the memory per connection.
DEFAULT_HEADER_BYTES = 16384
# Maximum size of a request's body in bytes, 4 MiB. It bounds the memory per request.
DEFAULT_BODY_BYTES = 4 << 20
# Longest time in seconds for the head of a request to arrive.
DEFAULT_HEADER_TIMEOUT_S = 3.0
# Seconds for which a connection may stay idle. It bounds the number of open connections.
DEFAULT_IDLE_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service to which a route sends requests, and its share of them."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The operators' settings for the requests of one host and path prefix.

    Attributes:
      path_prefix: Begins and ends with a slash; the longest that matches a path wins.
      streaming: Whether the answer is a stream of server-sent events.
      repeatable: Whether a request may run more than once.
      resumable: Whether a broken stream may be resumed at another endpoint.
      timeout_s: Longest time for which a request is held.
      target_s: Time to the first event, or to the answer, that the operators aim for.
      pause_s: Longest pause between events that the operators aim for, 0 if unknown; no decision
        uses it.
      priority: Priority of the route, 0 most urgent.
      max_endpoints: Largest number of endpoints to which one request may be sent.
      needs_key: Whether a caller must present a customer's key.
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
    """A service: a group of interchangeable endpoints and its settings.

    Attributes:
      health_path: Path of an endpoint's health check.
      max_connections: Connections that one endpoint accepts from all instances together.
      token_capacity: Tokens of running requests and cached prompts that fit into an endpoint; 0 for
        plain services.
      fetches: Whether an endpoint can fetch cached prompt parts from another one.
      scaling: Limits within which endpoints may be ordered; None if they may not be ordered.
      cold_per_s: Requests per second that a cold endpoint can take from all instances; 0 if
        unknown.
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
    """A customer with its keys and its own priority, 0 most urgent; None if it has none."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on the idle time of callers' connections.

    Attributes:
      header_timeout_s: Longest time for a head to arrive, from its first byte.
      idle_timeout_s: Longest time between two requests, or without a byte of a body.
    """

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' configuration at one version; versions only increase.

    Attributes:
      keeps_customers: Whether the operators keep a list of customers, even an empty one. If so, a
        caller without a customer's key is refused on routes that need one.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[CustomerKeys, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    keeps_customers: bool = False


@dataclass(frozen=True, slots=True)
class EndpointIncarnation:
    """One run of an endpoint's process; an endpoint may restart under the same id.

    Attributes:
      born_ms: Unix time of its start in milliseconds by the endpoint's clock; None if unknown. It
        is never compared with another clock.
    """

    endpoint_id: str
    born_ms: int | None


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One incarnation of an endpoint as listed by the platform.

    Attributes:
      address: IP address and port; may be reused by another endpoint later.
      slots: Requests that the endpoint runs at a time.
      draining: Whether the endpoint is about to leave and takes no new requests.
      born_ms: See EndpointIncarnation.
      spot: Whether it is a spot endpoint: cheaper, and may be taken away at short notice.
      cold: Whether the endpoint reports that it is cold; only for services with a rate for cold
        endpoints.
      version: Version of its software, None if unknown; versions have no order.
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
    version: str | None = None

    @property
    def incarnation(self) -> EndpointIncarnation:
        """Return the incarnation of the endpoint that the entry describes."""
        return EndpointIncarnation(self.endpoint_id, self.born_ms)


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The platform's list of endpoints at one revision; revisions only increase.

    Attributes:
      unreadable: Entries that the reader of the store had to skip; not sent to peers.
    """

    revision: int
    entries: tuple[EndpointEntry, ...]
    unreadable: tuple[UnreadableItem, ...] = ()


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share, and its length in tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as routing sees it, without its content.

    Attributes:
      path: Path without the query.
      key: The key presented by the caller, or None.
      arrived_s: When the request began to arrive.
      caller_timeout_s: How long the caller waits, counted from arrived_s; None if not given.
      prompt_tokens: Length of the prompt; 0 if not given.
      answer_tokens: Requested maximum length of the answer, 0 if not given; no decision uses it.
      resume_after: Id of the last event that the caller has, or None.
      resumes: Id of the caller's request that brought the first event of the stream which this one
        resumes, or None.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    arrived_s: float
    caller_timeout_s: float | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    resume_after: str | None = None
    resumes: str | None = None


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that the configuration allows.

    Attributes:
      customer: Name of the customer, "" if the request belongs to none.
      priority: Priority of the request, 0 most urgent.
      version: Version of the configuration that admitted it.
      deadline_s: When the request is given up.
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
    """The facts of a request that the choice of an endpoint needs.

    Instances send it to coordinators as a list of its fields, in this order.

    Attributes:
      failure_domain: Failure domain of the instance that will send the request.
      priority: Priority of its route, 0 most urgent; not the customer's, since a whole kind of
        request must not starve behind a less urgent one.
      target_s: Time to the first event that the operators aim for.
      fetches: Whether an endpoint of the service can fetch cached prompt parts from another one.
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
        """Return the demand of an admitted request.

        Args:
          failure_domain: Failure domain of this instance.
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
