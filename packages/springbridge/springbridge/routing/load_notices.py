"""Notices by which instances tell each other of their requests at endpoints.

An endpoint's own report would be late and cost a call. The instance that sends a request knows at
once when it starts, when its prompt has been read and when it ends, and a notice of about a hundred
bytes takes that to its peers within milliseconds. Notices can be lost. They only improve the choice
of endpoint, and a load whose end is not reported expires (endpoint_state.py).
"""

from dataclasses import dataclass
from enum import IntEnum

from springbridge.routing.records import EndpointEntry, PromptPart

# Between incarnation and count in an attempt id. Attempt ids travel between instances, so that all
# instances of a mixed fleet must agree on it.
NAME_SEPARATOR = "/"


def attempt_name(incarnation: str, count: int) -> str:
    """Return an id for an attempt of an instance, unique in the fleet.

    Args:
      count: Number of the attempt among those of this incarnation.
    """
    return f"{incarnation}{NAME_SEPARATOR}{count}"


def incarnation_of(attempt_id: str) -> str:
    """Return the incarnation of the instance that makes an attempt."""
    return attempt_id.partition(NAME_SEPARATOR)[0]


class LoadPhase(IntEnum):
    """What a notice reports. The numbers are on the wire and keep their meaning.

    STARTED, READ and ENDED are phases of a request: it was sent, the endpoint has read its prompt,
    it is over. UNREACHED and GONE are about the endpoint: no connection came up, or another
    endpoint has its address.
    """

    STARTED = 0
    READ = 1
    ENDED = 2
    UNREACHED = 3
    GONE = 4


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """What happened to one request at one endpoint, or to the endpoint itself.

    Attributes:
      attempt_id: Id of the attempt, unique in the fleet; "" with UNREACHED and GONE.
      born_ms: Start of the endpoint's process that the notice is about, if it is known; only with
        UNREACHED and GONE. A process that started later is not concerned.
      prompt_tokens: Length of the prompt; only with STARTED.
      prompt_parts: Parts of the prompt, which the endpoint will keep; only with STARTED.
      fetched_tokens: Tokens of the prompt that the endpoint to fetch from keeps; 0 if there is
        none, and only with STARTED.
    """

    phase: LoadPhase
    attempt_id: str
    endpoint_id: str
    prompt_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    fetched_tokens: int = 0
    born_ms: int | None = None


def endpoint_notice(phase: LoadPhase, entry: EndpointEntry) -> LoadNotice:
    """Return a notice about an endpoint itself, UNREACHED or GONE."""
    return LoadNotice(phase, "", entry.endpoint_id, born_ms=entry.born_ms)


def is_about(notice: LoadNotice, entry: EndpointEntry) -> bool:
    """Return whether a notice may be about the process that is listed now."""
    return None in (notice.born_ms, entry.born_ms) or notice.born_ms == entry.born_ms
