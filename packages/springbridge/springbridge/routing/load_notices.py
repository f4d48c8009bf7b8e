"""Load notices: messages by which instances inform their peers of their requests at endpoints.

A report by the endpoint itself would be late and cost a call. The instance that sends a request
knows at once when it starts, when its prompt has been read and when it ends, and a notice of about
a hundred bytes reports this to its peers within milliseconds. Notices can be lost: they only
improve the choice of endpoint, and a load whose end is not reported expires (endpoint_state.py).
"""

from dataclasses import dataclass
from enum import IntEnum

from springbridge.routing.records import EndpointEntry, PromptPart

# Separates incarnation and count in an attempt id. Attempt ids are sent to peers, so instances of
# all releases in a fleet must agree on it.
ATTEMPT_ID_SEPARATOR = "/"


def make_attempt_id(incarnation: str, count: int) -> str:
    """Return an id for an attempt of an instance, unique in the fleet.

    Args:
      incarnation: Incarnation of the instance.
      count: Number of the attempt among those of this incarnation.
    """
    return f"{incarnation}{ATTEMPT_ID_SEPARATOR}{count}"


def incarnation_of(attempt_id: str) -> str:
    """Return the incarnation of the instance that made an attempt, as contained in its id."""
    return attempt_id.partition(ATTEMPT_ID_SEPARATOR)[0]


class LoadPhase(IntEnum):
    """What a notice reports. The numbers are sent to peers and must not change.

    STARTED, READ and ENDED are phases of a request: it was sent, the endpoint has read its prompt,
    the request has ended. UNREACHED and GONE concern the endpoint: connecting failed, or another
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
      prompt_tokens: Length of the prompt; only with STARTED.
      prompt_parts: Parts of the prompt, which the endpoint will cache; only with STARTED.
      fetched_tokens: Prompt tokens that the source endpoint of a fetch has cached; 0 if nothing is
        fetched; only with STARTED.
      born_ms: Start time of the endpoint process that the notice concerns, if known; only with
        UNREACHED and GONE. The notice does not apply to a process that started later.
    """

    phase: LoadPhase
    attempt_id: str
    endpoint_id: str
    prompt_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    fetched_tokens: int = 0
    born_ms: int | None = None


def endpoint_notice(phase: LoadPhase, entry: EndpointEntry) -> LoadNotice:
    """Return a notice that concerns an endpoint rather than a request: UNREACHED or GONE."""
    return LoadNotice(phase, "", entry.endpoint_id, born_ms=entry.born_ms)


def is_about(notice: LoadNotice, entry: EndpointEntry) -> bool:
    """Return whether a notice may concern the listed process: start times equal or unknown."""
    return None in (notice.born_ms, entry.born_ms) or notice.born_ms == entry.born_ms
