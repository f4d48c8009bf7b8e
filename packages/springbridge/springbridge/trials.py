"""Trials: which requests under suspicion run now, and where.

What is decided: whether a node may send a request under suspicion to an endpoint now.
Inputs: the records of crashes, the trials that run, and how many endpoints the service has.
Outcome: a `Permission`.
Why: one node decides for a service (see `trial_coordinators`), so that a request under suspicion
runs once in the whole fleet, however many nodes it comes to at the same moment. Requests that may
have caused the same crashes are spread over the endpoints, so that the next crash parts them; all
of them run at the same time if there are more of them than endpoints, because most are innocent
and after the loss of many endpoints hundreds of requests are under suspicion. In quarantine the
pause counts from a trial's grant as well: full endpoints may turn the trial away, and the next copy
of the request would follow at once.

Relies on a monotonic clock in seconds. Nothing here waits or does input or output.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from springbridge.crash_records import NEVER_S
from springbridge.hashing import score
from springbridge.quarantine import LONGEST_TRIAL_S, Quarantine, Standing

# Nodes that the crashes of a service are told to: the first one grants the trials, and the second
# one knows what the first one did if that ends.
TRIAL_COORDINATORS = 2
# Beginning of the hash key that selects them. All nodes of a mixed fleet have to select the same
# ones, so this text must stay as it is, byte for byte.
ROLE_KEY = "trials of requests"
# Seconds after which a trial no longer counts as running although nobody said that it ended: the
# message may be lost, or its node has ended. Above the time of most requests.
LONGEST_TRIAL_RUN_S = 30.0


class Answer(IntEnum):
    """The answer to a node that asks for a trial; the number is sent and must not change."""

    GRANTED = 0
    ANOTHER_ENDPOINT = 1
    WAIT = 2
    QUARANTINED = 3


@dataclass(frozen=True, slots=True)
class Permission:
    """Whether a request may be sent.

    Attributes:
      avoided: With ANOTHER_ENDPOINT, ids of the endpoints that have enough trials.
      wait_s: With QUARANTINED, when the next trial is due, in seconds from now.
    """

    answer: Answer
    avoided: tuple[str, ...] = ()
    wait_s: float = 0.0


GRANTED = Permission(Answer.GRANTED)
WAIT = Permission(Answer.WAIT)


@dataclass(frozen=True, slots=True)
class Trial:
    """A request that runs on trial.

    Attributes:
      holder: The try that it was granted to.
      until_s: When it no longer counts as running.
    """

    holder: str
    endpoint_id: str
    until_s: float


class Trials:
    """The trials of the services that this node coordinates."""

    def __init__(self, quarantine: Quarantine) -> None:
        """Start without a trial."""
        self._quarantine = quarantine
        self._running: dict[str, Trial] = {}
        self._granted_s: dict[str, float] = {}

    def ask(
        self, fingerprint: str, holder: str, endpoint_id: str, left_s: float, endpoints: int
    ) -> Permission:
        """Return whether a request may be sent to an endpoint now, and count it there if it may.

        Args:
          holder: Names the try of the request that asks. The one that holds the trial already gets
            the same answer, since the one before may have been lost.
          left_s: Seconds left to the request's deadline.
          endpoints: How many endpoints the service has.
        """
        now_s = self._quarantine.records.now_s()
        self._drop_over(now_s)
        found = self._quarantine.verdict(fingerprint)
        if found.standing is Standing.FREE:
            return GRANTED
        if fingerprint in self._running:
            return GRANTED if self._running[fingerprint].holder == holder else WAIT
        due_s = max(found.trial_due_s, self._granted_s.get(fingerprint, NEVER_S) + found.pause_s)
        if now_s < due_s:
            return Permission(Answer.QUARANTINED, wait_s=due_s - now_s)
        full = self._full_endpoints(fingerprint, endpoints)
        if endpoint_id in full:
            return Permission(Answer.ANOTHER_ENDPOINT, avoided=tuple(sorted(full)))
        until_s = now_s + min(left_s, LONGEST_TRIAL_RUN_S)
        self._granted_s[fingerprint] = now_s
        self._running[fingerprint] = Trial(holder, endpoint_id, until_s)
        return GRANTED

    def ended(self, fingerprint: str, holder: str) -> None:
        """Note that the trial that a try of a request held is over."""
        trial = self._running.get(fingerprint)
        if trial is not None and trial.holder == holder:
            del self._running[fingerprint]

    def _full_endpoints(self, fingerprint: str, endpoints: int) -> set[str]:
        """Return the endpoints that run as many trials of a request's companions as they should."""
        group = self._quarantine.companions(fingerprint)
        rivals = self._quarantine.rivals(fingerprint)
        most = max(1, math.ceil(len(group) / max(1, endpoints)))
        running = Counter(
            trial.endpoint_id for name, trial in self._running.items() if name in group
        )
        full = {endpoint_id for endpoint_id, count in running.items() if count >= most}
        return full | {trial.endpoint_id for name, trial in self._running.items() if name in rivals}

    def _drop_over(self, now_s: float) -> None:
        """Drop the trials whose time is over, and grants that no pause counts from any more."""
        self._granted_s = {
            name: at_s for name, at_s in self._granted_s.items() if now_s < at_s + LONGEST_TRIAL_S
        }
        self._running = {
            name: trial for name, trial in self._running.items() if trial.until_s > now_s
        }


def trial_coordinators(service: str, incarnations: Iterable[str]) -> list[str]:
    """Return the nodes that keep the crashes of a service, the one that grants its trials first.

    Args:
      incarnations: Of the live nodes.
    """
    key = f"{ROLE_KEY} for {service}"
    ranked = sorted(incarnations, key=lambda name: score(key, name), reverse=True)
    return ranked[:TRIAL_COORDINATORS]
