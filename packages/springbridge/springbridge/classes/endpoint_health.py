"""Endpoint health: how many slots of an endpoint may be used after it failed?

Decided: whether an endpoint that failed several requests in a row is used. Inputs: failures in a
row, a monotonic time in seconds and the slots that it has otherwise. Outcome: no slots while it is
suspended, one slot until a request succeeds, then all of them. Why: a broken endpoint fails fast,
so it would draw the requests of all entry nodes to itself; one request at a time tests it.
No measurement set the constants.

The node that schedules the endpoint decides for all nodes; in springbridge.routing each node ejects
an endpoint by its own count, and uses it fully again once the ejection is over.
"""

from dataclasses import dataclass

# Failures in a row before a suspension. One broken connection does not take an endpoint out of use.
FAILURES_TO_SUSPEND = 2
# Length of the first suspension; it doubles with each failure after that.
FIRST_SUSPENSION_S = 0.5
# Longest suspension, and so the longest time for which a repaired endpoint stays unused.
MAX_SUSPENSION_S = 8.0


@dataclass
class EndpointHealth:
    """The state of one endpoint.

    Attributes:
      failures: Failures in a row.
      suspension_s: How long the next suspension lasts.
      suspended_until_s: When the last suspension ends.
    """

    failures: int = 0
    suspension_s: float = FIRST_SUSPENSION_S
    suspended_until_s: float = 0.0

    @property
    def suspect(self) -> bool:
        """Return whether the endpoint gets one request at a time until one succeeds."""
        return self.failures >= FAILURES_TO_SUSPEND

    def success(self) -> None:
        """Note that the endpoint served a request."""
        self.failures = 0
        self.suspension_s = FIRST_SUSPENSION_S

    def failure(self, now_s: float) -> None:
        """Note that the endpoint failed a request."""
        self.failures += 1
        if self.suspect:
            self.suspended_until_s = now_s + self.suspension_s
            self.suspension_s = min(MAX_SUSPENSION_S, 2 * self.suspension_s)

    def slots(self, now_s: float, limit: int) -> int:
        """Return how many of the endpoint's slots may be used now."""
        if now_s < self.suspended_until_s:
            return 0
        return 1 if self.suspect else limit
