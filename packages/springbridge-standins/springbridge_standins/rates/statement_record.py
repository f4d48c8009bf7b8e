"""What reached an endpoint beside what it had said of leaving and rest, by the users' rules.

Nothing that a caller sent later than DRAIN_S after an instance had passed on an answer which says
that the endpoint leaves may reach it from that instance, and no more than two requests from an
instance in a rest that it was asked for. An instance that was harmed a moment ago is excused, and
one that started again is another one.
"""

from collections import defaultdict
from dataclasses import dataclass, field

# Seconds after an answer that says so in which an endpoint that leaves may get requests; also the
# drain time in the settings of the soak's nodes.
DRAIN_S = 2.0
# Seconds after an answer that asks for rest in which requests may be under way.
UNDER_WAY_S = 0.5


@dataclass(frozen=True, slots=True)
class Request:
    """A request that an instance sends.

    Attributes:
      instance: Incarnation of the instance.
      sent_s: When its caller sent it.
      is_excused: Whether the instance was harmed a moment before.
    """

    instance: str
    sent_s: float
    is_excused: bool


@dataclass(frozen=True, slots=True)
class RestAsked:
    """A wish for rest."""

    at_s: float
    rest_s: float


@dataclass
class StatementRecord:
    """One endpoint: what it said to whom, and what reached it from whom."""

    _arrivals: dict[str, list[tuple[Request, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _passed_on_s: dict[str, float] = field(default_factory=dict)
    _rests: dict[str, list[RestAsked]] = field(default_factory=lambda: defaultdict(list))

    def arrived(self, request: Request, at_s: float) -> None:
        """Note that a request arrives."""
        self._arrivals[request.instance].append((request, at_s))

    def passed_on(self, instance: str, at_s: float) -> None:
        """Note that an instance has passed on an answer which says that the endpoint leaves."""
        self._passed_on_s.setdefault(instance, at_s)

    def asked_rest(self, request: Request, at_s: float, rest_s: float) -> None:
        """Note that a request is turned away with a wish for rest."""
        self._rests[request.instance].append(RestAsked(at_s, rest_s))

    def said_to(self) -> int:
        """Return how many instances it said something to."""
        return len({*self._passed_on_s, *self._rests})

    def late(self) -> int:
        """Return how many requests came too late after the word that the endpoint leaves."""
        return sum(
            request.sent_s > passed_on_s + DRAIN_S and not request.is_excused
            for instance, passed_on_s in self._passed_on_s.items()
            for request, _ in self._arrivals[instance]
        )

    def most_in_a_rest(self) -> int:
        """Return the most requests that one instance sent in a rest."""
        return max(
            (
                sum(
                    rest.at_s + UNDER_WAY_S < at_s < rest.at_s + rest.rest_s
                    and not request.is_excused
                    for request, at_s in self._arrivals[instance]
                )
                for instance, rests in self._rests.items()
                for rest in rests
            ),
            default=0,
        )
