"""Trials of prompts with parts that are suspected of crashing endpoints (part_quarantine.py).

One node decides for all, the first trial coordinator of PARTS_ROLE, since a part may come with any
service. It grants one trial at a time for each suspect, for as long as a crash may take; requests
without a common suspect may be on trial at the same time, preferably not on the same endpoint, so
that a crash tells them apart.

Relies on a monotonic clock in seconds. Nothing here waits or does input or output.
"""

from dataclasses import dataclass

from springbridge.part_quarantine import PartQuarantine
from springbridge.quarantine import Standing
from springbridge.trials import GRANTED, WAIT, Answer, Permission

# Stands for a service where the trial coordinators of parts are determined. All nodes of a fleet
# have to select the same ones, so it must not change.
PARTS_ROLE = "parts of prompts"
# Shortest time in seconds between two trials of the same suspects. The first may have told nothing,
# as when the endpoint was full; sound prompts wait meanwhile.
MIN_TRIAL_PAUSE_S = 0.25
# Seconds for which a trial keeps others of its suspects waiting. Longer than a crash takes as a
# rule; the node that holds the trial may have ended, and sound prompts wait meanwhile.
MAX_EXCLUSIVE_S = 1.0
# Maximum number of grants that are remembered for their pauses; each is a few suspects.
MAX_GRANTS = 256


@dataclass(frozen=True, slots=True)
class PartTrial:
    """A running trial.

    Attributes:
      endpoint_id: Endpoint on which it runs.
      until_s: When it no longer keeps others waiting.
    """

    suspects: frozenset[str]
    endpoint_id: str
    until_s: float


class PartTrials:
    """The running trials that this node has granted as coordinator."""

    def __init__(self, quarantine: PartQuarantine) -> None:
        """Create an empty set of trials, decided by the verdicts of a quarantine."""
        self._quarantine = quarantine
        self._running: dict[str, PartTrial] = {}
        self._granted_s: dict[frozenset[str], float] = {}

    def request(
        self, keys: tuple[str, ...], holder: str, endpoint_id: str, left_s: float, endpoints: int
    ) -> Permission:
        """Return whether a request may be sent to an endpoint now; see `Trials.request`.

        Args:
          keys: Keys of the parts of its prompt.
          holder: Names the attempt of the request.
          left_s: Seconds left to the request's deadline.
          endpoints: Number of endpoints of the service.
        """
        now_s = self._quarantine.records.now_s()
        self._running = {
            name: trial for name, trial in self._running.items() if trial.until_s > now_s
        }
        found = self._quarantine.verdict(keys)
        if found.standing is Standing.FREE or holder in self._running:
            return GRANTED
        if any(not trial.suspects.isdisjoint(found.suspects) for trial in self._running.values()):
            return WAIT
        pause_s = max(found.pause_s, MIN_TRIAL_PAUSE_S)
        wait_s = max(found.due_s, self._last_grant_s(found.suspects) + pause_s) - now_s
        if wait_s > 0:
            is_quarantined = found.standing is Standing.QUARANTINED
            return Permission(Answer.QUARANTINED, wait_s=wait_s) if is_quarantined else WAIT
        avoided = self._avoided(found.suspects, endpoints)
        if endpoint_id in avoided:
            return Permission(Answer.ANOTHER_ENDPOINT, avoided=tuple(sorted(avoided)))
        self._running[holder] = PartTrial(
            found.suspects, endpoint_id, now_s + min(left_s, MAX_EXCLUSIVE_S)
        )
        self._record_grant(found.suspects, now_s)
        return GRANTED

    def finish(self, holder: str) -> None:
        """Record the end of the trial that an attempt held, if it holds one."""
        self._running.pop(holder, None)

    def _avoided(self, suspects: frozenset[str], endpoints: int) -> set[str]:
        """Return the endpoints on which no trial of these suspects may start now.

        Others on trial are avoided while there are free endpoints, and those that failed a trial
        together with these in any case: together they would fail again, and tell nothing.
        """
        used = {trial.endpoint_id for trial in self._running.values()}
        if len(used) < endpoints:
            return used
        return {
            trial.endpoint_id
            for trial in self._running.values()
            if self._quarantine.failed_together(suspects, trial.suspects)
        }

    def _last_grant_s(self, suspects: frozenset[str]) -> float:
        """Return when the latest trial was granted whose suspects the request all holds."""
        granted = (at_s for each, at_s in self._granted_s.items() if each <= suspects)
        return max(granted, default=float("-inf"))

    def _record_grant(self, suspects: frozenset[str], now_s: float) -> None:
        """Record a grant, and forget the oldest beyond MAX_GRANTS."""
        self._granted_s.pop(suspects, None)
        self._granted_s[suspects] = now_s
        if len(self._granted_s) > MAX_GRANTS:
            del self._granted_s[next(iter(self._granted_s))]
