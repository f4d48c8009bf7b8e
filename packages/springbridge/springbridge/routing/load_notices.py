"""What nodes tell each other of the requests that they have at endpoints.

An endpoint's own report is late and costs a call. What a node does with a request it knows at once,
and a notice of a hundred bytes tells the others within milliseconds. Notices may be lost: they are
hints for the choice of endpoint, and a load whose end is never heard of expires.
"""

from dataclasses import dataclass
from enum import IntEnum

from springbridge.routing.records import PromptPart

NAME_SEPARATOR = "/"


def attempt_name(incarnation: str, count: int) -> str:
    """Return a name for an attempt of a node, new among those of all nodes."""
    return f"{incarnation}{NAME_SEPARATOR}{count}"


def teller_of(attempt_id: str) -> str:
    """Return the incarnation of the node that tells of an attempt."""
    return attempt_id.partition(NAME_SEPARATOR)[0]


class LoadPhase(IntEnum):
    """What happened to a request at an endpoint.

    UNREACHED and GONE are no phases of the request but what it showed of the endpoint: no
    connection came up, or another endpoint has its address.
    """

    STARTED = 0
    READ = 1
    ENDED = 2
    UNREACHED = 3
    GONE = 4


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """One request at one endpoint changed its phase.

    Attributes:
      attempt_id: Names the attempt among those of all nodes.
      prompt_tokens: Length of the prompt; only with STARTED.
      prompt_parts: What the endpoint will keep of it; only with STARTED.
      fetched_tokens: What the endpoint keeps or fetches from another; only with STARTED.
    """

    phase: LoadPhase
    attempt_id: str
    endpoint_id: str
    prompt_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    fetched_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """A request that an endpoint has.

    Attributes:
      prefill_tokens: Prompt tokens that it probably has still to read.
      since_s: When this node learnt of it.
    """

    prefill_tokens: int
    since_s: float
