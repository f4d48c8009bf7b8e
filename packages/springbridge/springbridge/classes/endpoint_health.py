"""Endpoint health: suspends an endpoint that failed several requests in a row.

Decides how many slots of an endpoint may be used.
Inputs: the failures in a row, a monotonic time in seconds, and the number of slots that a healthy
endpoint would have.
Result: no slots while the endpoint is suspended, then one slot until a request succeeds, then all.
A broken endpoint fails fast, so without a suspension it would attract the requests of all entry
nodes; one request at a time probes it.

The node that schedules the endpoint decides for all nodes. In springbridge.routing, by contrast,
each node ejects an endpoint by its own count, and uses it fully once the ejection is over.
"""

from dataclasses import dataclass

# Failures in a row that suspend an endpoint. More than one, so that a single broken connection does
# not take an endpoint out of use.
FAILURES_TO_SUSPEND = 2
# Length of the first suspension; each further failure doubles it.
FIRST_SUSPENSION_S = 0.5
# Longest suspension, and so the longest time for which a repaired endpoint stays unused.
MAX_SUSPENSION_S = 8.0


@dataclass
class EndpointHealth:
    """Failures and suspension of one endpoint.

    Attributes:
      failures: Failures in a row.
      suspension_s: Length of the next suspension.
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
        """Record a request that the endpoint served; it lifts the suspicion."""
        self.failures = 0
        self.suspension_s = FIRST_SUSPENSION_S

    def failure(self, now_s: float) -> None:
        """Record a request that the endpoint failed; suspend the endpoint if it is suspect."""
        self.failures += 1
        if self.suspect:
            self.suspended_until_s = now_s + self.suspension_s
            self.suspension_s = min(MAX_SUSPENSION_S, 2 * self.suspension_s)

    def slots(self, now_s: float, limit: int) -> int:
        """Return how many of the endpoint's slots may be used now."""
        if now_s < self.suspended_until_s:
            return 0
        return 1 if self.suspect else limit
