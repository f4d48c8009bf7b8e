"""Whether an endpoint works: one that fails in a row is suspended and probed back one at a time."""

from dataclasses import dataclass

FAILURES_TO_SUSPEND = 2
FIRST_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 8.0


@dataclass
class EndpointHealth:
    """Failures in a row at one endpoint and until when it is left alone."""

    failures: int = 0
    suspension_s: float = FIRST_SUSPENSION_S
    suspended_until_s: float = 0.0

    @property
    def suspect(self) -> bool:
        """Return whether the endpoint has to prove itself with one request at a time."""
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
