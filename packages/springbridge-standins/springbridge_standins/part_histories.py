"""Histories of prompts with parts that crash endpoints, drawn by seed, and what came of them.

See part_simulation.py, which plays them.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

# Seconds of traffic before the first poison request, and without it.
WARM_S = 6.0
# Seconds within which nodes in touch know of a crash: the users' bound.
CONTACT_S = 4.0
# Number of crashes from which the users' rule counts.
KNOWN_CRASHES = 5


@dataclass(frozen=True)
class History:
    """The load and the faults of one simulation.

    Attributes:
      nodes, endpoints: Their numbers.
      sound_per_s: Sound requests per second of all kinds.
      customers, sessions: Numbers of first parts, and of the parts after them.
      poison: Number of poison parts.
      poison_per_s: Requests per second with each of them.
      attempts: Endpoints that a request may be sent to.
      runs_s: Range of the time from the first event to the end of an answer.
      shows_events: Whether a node sees the first event of an answer, or nothing before its end.
      crashes_per_s: Endpoints per second that crash without a cause in a request.
      node_starts_per_s: Nodes per second that end and start anew without records.
      restart_s: Range of the time until a crashed endpoint is replaced.
      duration_s: Length in seconds.
    """

    nodes: int = 6
    endpoints: int = 8
    sound_per_s: float = 20.0
    customers: int = 4
    sessions: int = 20
    poison: int = 1
    poison_per_s: float = 4.0
    attempts: int = 2
    runs_s: tuple[float, float] = (0.1, 2.0)
    shows_events: bool = True
    crashes_per_s: float = 0.0
    node_starts_per_s: float = 0.0
    restart_s: tuple[float, float] = (2.0, 4.0)
    duration_s: float = 45.0

    @classmethod
    def drawn(cls, seed: int) -> "History":
        """Return the history of a seed."""
        rng = random.Random(f"history {seed}")
        nodes = round(2 * 30 ** rng.random()) if rng.random() < 0.97 else 380
        endpoints = rng.randint(5, 40)
        return cls(
            nodes=nodes,
            endpoints=endpoints,
            sound_per_s=rng.uniform(8, 40),
            customers=rng.randint(1, 8),
            sessions=rng.randint(2, 60),
            poison=rng.choice((1, 1, 2, 3)),
            poison_per_s=rng.uniform(1, 20) if rng.random() < 0.3 else rng.uniform(1, 5),
            attempts=rng.randint(1, 2),
            runs_s=rng.choice(((0.1, 0.5), (0.1, 2.0), (1.0, 4.0))),
            shows_events=rng.random() < 0.7,
            crashes_per_s=rng.choice((0.0, 0.0, 0.1, 0.3)),
            node_starts_per_s=rng.choice((0.0, 0.0, 0.1)),
            restart_s=rng.choice(((0.5, 1.0), (2.0, 4.0))),
        )


@dataclass
class Result:
    """What came of a history.

    Attributes:
      crashes_s: When endpoints crashed for each poison part.
      arrivals_s: When requests with each poison part reached endpoints.
      sound: For sound requests by kind, how many came when it counts, and how many of them ended
        well at their first endpoint.
      refused: Sound requests that were refused as if they were the cause.
      held: Sound requests that were refused as they had waited too long for a trial.
    """

    crashes_s: dict[str, list[float]] = field(default_factory=dict)
    arrivals_s: dict[str, list[float]] = field(default_factory=dict)
    sound: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    refused: int = 0
    held: int = 0

    def late(self, part: str) -> int:
        """Return how many requests with a part reached endpoints too late for the users' rule."""
        crashes_s = sorted(self.crashes_s.get(part, []))
        if len(crashes_s) < KNOWN_CRASHES:
            return 0
        known_s = crashes_s[KNOWN_CRASHES - 1] + CONTACT_S
        return sum(at_s > known_s for at_s in self.arrivals_s[part])
