"""Trials: which requests suspected of crashing endpoints may run now, and on which endpoint.

A trial is a run of a request under suspicion (quarantine.py). Whether a node may start one on an
endpoint is decided from the crash records, the running trials, and the number of endpoints of the
service. The result is a `Permission`.

One node decides for a service (see `trial_coordinators`), so that a request under suspicion runs
once in the whole fleet, however many nodes receive it at the same moment. Requests that may have
caused the same crashes are spread over the endpoints, so that the next crash distinguishes them.
All of them run at the same time even if there are more of them than endpoints, because most are
innocent and after the loss of many endpoints hundreds of requests are under suspicion. In
quarantine the pause also counts from the grant of a trial: otherwise, if a full endpoint rejects
the trial, the next copy of the request would follow at once.

Relies on a monotonic clock in seconds. Nothing here waits or does input or output.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from springbridge.crash_records import NEVER_S
from springbridge.hashing import score
from springbridge.quarantine import MAX_TRIAL_PAUSE_S, Quarantine, Standing

# Number of nodes that receive the crashes of a service. The first one grants the trials; the second
# one has the same crash records if the first one ends.
TRIAL_COORDINATORS = 2
# Prefix of the hash key that selects them. All nodes of a fleet with mixed versions have to select
# the same ones, so this text must stay as it is, byte for byte.
ROLE_KEY = "trials of requests"
# Seconds after which a trial no longer counts as running although its end was not reported: the
# message may be lost, or its node has ended. Above the duration of most requests.
MAX_TRIAL_RUN_S = 30.0


class Answer(IntEnum):
    """The answer to a request for a trial; the number is sent to peers and must not change."""

    GRANTED = 0
    ANOTHER_ENDPOINT = 1
    WAIT = 2
    QUARANTINED = 3


@dataclass(frozen=True, slots=True)
class Permission:
    """Whether a request may be sent to an endpoint.

    Attributes:
      avoided: With ANOTHER_ENDPOINT, ids of the endpoints on which no trial of the request may
        start now.
      wait_s: With QUARANTINED, seconds until the next trial is due.
    """

    answer: Answer
    avoided: tuple[str, ...] = ()
    wait_s: float = 0.0


GRANTED = Permission(Answer.GRANTED)
WAIT = Permission(Answer.WAIT)


@dataclass(frozen=True, slots=True)
class Trial:
    """A running trial.

    Attributes:
      holder: Names the attempt that it was granted to.
      endpoint_id: Endpoint on which it runs.
      until_s: When it no longer counts as running.
    """

    holder: str
    endpoint_id: str
    until_s: float


class Trials:
    """The trials of the services that this node coordinates."""

    def __init__(self, quarantine: Quarantine) -> None:
        """Create an empty set of trials, decided by the verdicts of a quarantine."""
        self._quarantine = quarantine
        self._running: dict[str, Trial] = {}
        self._granted_s: dict[str, float] = {}

    def request(
        self, fingerprint: str, holder: str, endpoint_id: str, left_s: float, endpoints: int
    ) -> Permission:
        """Return whether a request may be sent to an endpoint now.

        A trial that is granted counts as running on that endpoint.

        Args:
          fingerprint: Of the request.
          holder: Names the attempt of the request. The attempt that already holds the trial is
            granted it again, since the earlier answer may have been lost.
          endpoint_id: The endpoint.
          left_s: Seconds left to the request's deadline.
          endpoints: Number of endpoints of the service.
        """
        now_s = self._quarantine.records.now_s()
        self._drop_expired(now_s)
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
        until_s = now_s + min(left_s, MAX_TRIAL_RUN_S)
        self._granted_s[fingerprint] = now_s
        self._running[fingerprint] = Trial(holder, endpoint_id, until_s)
        return GRANTED

    def finish(self, fingerprint: str, holder: str) -> None:
        """Record the end of the trial that an attempt of a request held, if it holds one."""
        trial = self._running.get(fingerprint)
        if trial is not None and trial.holder == holder:
            del self._running[fingerprint]

    def _full_endpoints(self, fingerprint: str, endpoints: int) -> set[str]:
        """Return the endpoints on which no trial of a request may start now.

        These have their share of the running trials of requests that may have caused the same
        crashes, or run one of a request that failed a trial together with this one.
        """
        group = self._quarantine.suspect_group(fingerprint)
        together = self._quarantine.failed_together(fingerprint)
        most = max(1, math.ceil(len(group) / max(1, endpoints)))
        running = Counter(
            trial.endpoint_id for name, trial in self._running.items() if name in group
        )
        full = {endpoint_id for endpoint_id, count in running.items() if count >= most}
        return full | {
            trial.endpoint_id for name, trial in self._running.items() if name in together
        }

    def _drop_expired(self, now_s: float) -> None:
        """Drop expired trials, and grant times older than the longest pause."""
        self._granted_s = {
            name: at_s for name, at_s in self._granted_s.items() if now_s < at_s + MAX_TRIAL_PAUSE_S
        }
        self._running = {
            name: trial for name, trial in self._running.items() if trial.until_s > now_s
        }


def trial_coordinators(service: str, incarnations: Iterable[str]) -> list[str]:
    """Return the nodes that keep the crashes of a service; the first one grants its trials.

    Args:
      service: Name of the service.
      incarnations: Of the live nodes.
    """
    key = f"{ROLE_KEY} for {service}"
    ranked = sorted(incarnations, key=lambda name: score(key, name), reverse=True)
    return ranked[:TRIAL_COORDINATORS]
