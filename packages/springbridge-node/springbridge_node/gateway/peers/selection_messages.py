"""What a node and a coordinator say to each other about the endpoint for one attempt."""

from dataclasses import dataclass

from springbridge.routing.overload import Overload
from springbridge.routing.records import Demand


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """A node asks a coordinator to select an endpoint.

    Attributes:
      number: The node's own count of its requests; the reply repeats it.
      attempt_id: Names the attempt among those of all nodes.
      tried: Ids of the endpoints that have had the request already.
      avoided: Ids of further endpoints that the node cannot use for now.
    """

    number: int
    attempt_id: str
    tried: list[str]
    avoided: list[str]
    demand: Demand


@dataclass(frozen=True, slots=True)
class SelectionReply:
    """A coordinator's reply.

    Attributes:
      number: The number of the request that it answers.
      endpoint_id: The selected endpoint, "" if there is none.
      source_id: An endpoint from which to fetch cached prompt tokens, "" for none.
      fetched_tokens: Prompt tokens that the source has cached; 0 without a source.
      overload: Why the request is to be refused if all its endpoints are overloaded; else None.
    """

    number: int
    endpoint_id: str
    source_id: str
    fetched_tokens: int
    overload: Overload | None
