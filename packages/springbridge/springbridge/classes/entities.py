"""Records of the domain: requests, and the operators' table of classes, customers and endpoints.

All are immutable; other modules hold the functions on them. Times are in seconds
where a name ends in _s and in milliseconds where it ends in _ms.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Tier(IntEnum):
    """Service tier of a class; a lower number goes first."""

    URGENT = 0
    STANDARD = 1
    BULK = 2


class EndpointKind(Enum):
    """Kind of server at an endpoint's address."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True)
class RequestClass:
    """A class of requests as the operators define it.

    Attributes:
      first_token_ms: Latency target for the first token, from arrival at the entry node.
      between_tokens_ms: Latency target for the mean time between tokens.
      target: The model or the service that serves the class.
      max_wait_ms: Longest time that a request may wait for an endpoint before it is refused.
      failure_domains: Where requests of the class may be processed.
      repeatable: Whether a request of the class may be run more than once.
    """

    name: str
    tier: Tier
    target: str
    first_token_ms: int
    between_tokens_ms: int
    max_wait_ms: int
    failure_domains: frozenset[str]
    repeatable: bool


@dataclass(frozen=True)
class Customer:
    """A customer.

    Attributes:
      failure_domains: Where the customer's requests may be processed.
      key_hashes: SHA-256 digests of its keys, in hex.
    """

    name: str
    failure_domains: frozenset[str]
    key_hashes: tuple[str, ...]


@dataclass(frozen=True)
class Share:
    """Weight and limits of one customer in one class; the limits hold for the sum of all nodes.

    Attributes:
      weight: Share of the class's tier relative to other customers and classes.
      rate_per_s: Requests that may start in a second.
      concurrency: Requests that may run at a time.
    """

    customer: str
    request_class: str
    weight: float
    rate_per_s: float
    concurrency: int


@dataclass(frozen=True)
class Endpoint:
    """A model engine or a plain service that requests can be sent to.

    Attributes:
      address: IP number and port, such as 127.0.0.1:9000.
      failure_domain: Failure domain in which the endpoint runs.
      target: The model that it has loaded or the service that it offers.
      token_capacity: Tokens of prompts and answers that fit its memory at a time.
      checks_tokens: Whether the endpoint itself rejects orders with an old fencing token.
    """

    name: str
    kind: EndpointKind
    address: str
    failure_domain: str
    target: str
    token_capacity: int
    checks_tokens: bool


@dataclass(frozen=True)
class Table:
    """The operators' table at one version.

    Attributes:
      version: Strictly increasing; 0 means that there is no table yet.
      shares: By customer and class.
      keys: Customer name by key digest, derived from the customers.
    """

    version: int = 0
    classes: dict[str, RequestClass] = field(default_factory=dict)
    customers: dict[str, Customer] = field(default_factory=dict)
    shares: dict[tuple[str, str], Share] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Request:
    """Metadata of a request for scheduling; never its content.

    Attributes:
      request_id: Given by the caller or by the entry node.
      weight: The customer's weight in the class.
      repeatable: Whether the request may be run more than once.
      max_wait_s: Longest time it may wait, counted from arrival.
      arrived_s: Arrival at the entry node, on that node's monotonic clock.
      prompt_tokens: Estimated length of the prompt.
      affinity: Requests with equal affinity prefer the same endpoint; empty for no preference.
    """

    request_id: str
    request_class: RequestClass
    customer: str
    weight: float
    repeatable: bool
    max_wait_s: float
    arrived_s: float
    prompt_tokens: int
    affinity: str = ""
