"""Messages of remote selection: a node's request to a coordinator, and the reply."""

from dataclasses import dataclass

from springbridge.routing.overload import Overload
from springbridge.routing.records import Demand


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """A node's request to a coordinator to select an endpoint for an attempt.

    Attributes:
      number: Sequence number of the selection request at its node; the reply repeats it.
      attempt_id: Id of the attempt, unique in the fleet.
      tried: Ids of the endpoints that have had the request already.
      avoided: Ids of other endpoints that the node cannot use at present.
    """

    number: int
    attempt_id: str
    tried: list[str]
    avoided: list[str]
    demand: Demand


@dataclass(frozen=True, slots=True)
class SelectionReply:
    """A coordinator's reply to a selection request.

    Attributes:
      number: The number of the request.
      endpoint_id: The selected endpoint, "" if there is none.
      source_id: Id of an endpoint from which to fetch cached prompt tokens, "" for none.
      fetched_tokens: Number of prompt tokens that the source has cached; 0 without a source.
      overload: Set if the request is to be refused because all its endpoints are overloaded.
    """

    number: int
    endpoint_id: str
    source_id: str
    fetched_tokens: int
    overload: Overload | None
