"""Records the requests of an endpoint that leaves or asks for rest, and checks the users' rules.

A request that a caller sent later than DRAIN_S after an instance forwarded an answer which
announces that the endpoint leaves may not reach it from that instance; and at most two requests
from an instance may reach it in a rest that the instance was asked for. An instance that had a
fault shortly before is excused, and a restarted one counts as a different one.
"""

from collections import defaultdict
from dataclasses import dataclass, field

# Time after its announcement in which a leaving endpoint may get requests; also the drain time in
# the settings of the soak's nodes.
DRAIN_S = 2.0
# Time after an answer that asks for rest in which requests may still be in progress.
IN_PROGRESS_S = 0.5


@dataclass(frozen=True, slots=True)
class Request:
    """A request that an instance sends.

    Attributes:
      instance: Incarnation of the instance.
      sent_s: When its caller sent it.
      is_excused: Whether the instance had a fault shortly before.
    """

    instance: str
    sent_s: float
    is_excused: bool


@dataclass(frozen=True, slots=True)
class RestAsked:
    """An answer that asked for rest: when, and for how many seconds."""

    at_s: float
    rest_s: float


@dataclass
class StatementRecord:
    """Announcements to and requests from each instance, at one endpoint."""

    _arrivals: dict[str, list[tuple[Request, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _passed_on_s: dict[str, float] = field(default_factory=dict)
    _rests: dict[str, list[RestAsked]] = field(default_factory=lambda: defaultdict(list))

    def arrived(self, request: Request, at_s: float) -> None:
        """Record the arrival of a request."""
        self._arrivals[request.instance].append((request, at_s))

    def passed_on(self, instance: str, at_s: float) -> None:
        """Record that an instance forwarded an answer which announces that the endpoint leaves."""
        self._passed_on_s.setdefault(instance, at_s)

    def asked_rest(self, request: Request, at_s: float, rest_s: float) -> None:
        """Record that a request is rejected with an answer that asks for rest."""
        self._rests[request.instance].append(RestAsked(at_s, rest_s))

    def said_to(self) -> int:
        """Return how many instances got an announcement."""
        return len({*self._passed_on_s, *self._rests})

    def late(self) -> int:
        """Return how many requests were sent over DRAIN_S after the announcement to leave."""
        return sum(
            request.sent_s > passed_on_s + DRAIN_S and not request.is_excused
            for instance, passed_on_s in self._passed_on_s.items()
            for request, _ in self._arrivals[instance]
        )

    def most_in_a_rest(self) -> int:
        """Return the most requests from one instance in a rest that it was asked for."""
        return max(
            (
                sum(
                    rest.at_s + IN_PROGRESS_S < at_s < rest.at_s + rest.rest_s
                    and not request.is_excused
                    for request, at_s in self._arrivals[instance]
                )
                for instance, rests in self._rests.items()
                for rest in rests
            ),
            default=0,
        )
