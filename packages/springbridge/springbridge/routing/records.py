"""Records of routing by host and path: the configuration, the endpoints and a request's facts.

All are frozen; the functions over them live in the other modules of this package. Names that end
in _s hold seconds, and moments are seconds of the node's monotonic clock.
"""

from dataclasses import dataclass, field

NO_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that a route sends to, and its share of the route's requests."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """What the operators want for the requests of one host and path prefix.

    Attributes:
      path_prefix: Begins and ends with a slash; the longest that fits a path wins.
      streaming: The answer is a series of events.
      repeatable: A request may run more than once.
      resumable: A broken stream may go on at another endpoint.
      timeout_s: Longest time for which a request is held.
      target_s: Time to the first event, or to the answer, that the operators aim at.
      pause_s: Longest pause between events that the operators aim at; 0 where unknown.
      priority: Rank of the route, 0 first.
      max_engines: Largest number of endpoints to which one request may be sent.
      needs_key: Whether a caller has to show a customer's key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    streaming: bool
    repeatable: bool
    resumable: bool
    timeout_s: float = 60.0
    target_s: float = 1.0
    pause_s: float = 0.0
    priority: int = NO_PRIORITY
    max_endpoints: int = 1
    needs_key: bool = True


@dataclass(frozen=True, slots=True)
class Service:
    """A kind of endpoint.

    Attributes:
      max_connections: Connections that one endpoint takes from all nodes together.
      token_capacity: Tokens of running requests and cached prompts that fit; 0 for plain services.
      fetches: Whether an endpoint can take what another keeps of a prompt.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: int = 100
    token_capacity: int = 0
    fetches: bool = False


@dataclass(frozen=True, slots=True)
class CustomerKeys:
    """A customer, its keys, and its priority where it has one of its own."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may rest."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' configuration at one version; the version only ever grows."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[CustomerKeys, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One incarnation of an endpoint, as the platform's list has it."""

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The platform's list of endpoints as of one revision; revisions only ever grow."""

    revision: int
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share, and its length in tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """What routing knows of a request: never its content.

    Attributes:
      path: Path without the query.
      key: What the caller showed, or None.
      arrived_s: When the request had begun to arrive.
      patience_s: How long the caller waits, counted from arrived_s; None where it did not say.
      prompt_tokens: Length of the prompt; 0 where the caller did not say.
      answer_tokens: Longest answer asked for; 0 where the caller did not say.
      resume_after: The last event that the caller has, or None.
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

    Attributes:
      failure_domain: Failure domain of the instance that will send it.
      priority: Rank of its route, 0 first.
      target_s: Time to the first event that the operators aim at.
      fetches: Whether an endpoint of the service can take what another keeps of a prompt.
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
        """Return what an admitted request demands at an instance of a failure domain."""
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
