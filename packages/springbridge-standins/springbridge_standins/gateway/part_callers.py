"""Stand-in callers whose prompts have parts: some with a poison part, others that share the rest.

No two requests are alike: each has a body and a last part of its own. They go to the nodes in
turn.
"""

import asyncio
import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from springbridge_standins.gateway.caller import ask
from springbridge_standins.gateway.fleet import Fleet

# Parts that requests share: the first one belongs to a customer, the other to a session.
FIRST_PART, MIDDLE_PART = "a1", "b2"
# Seconds between two requests of one kind.
PAUSE_S = 0.25

_numbers = itertools.count(1)


class Kind(Enum):
    """What a request shares with those that hold the poison part.

    POISON holds that part. TWIN has all its other parts, SAME_FIRST the first part alone, and OTHER
    none of them.
    """

    POISON = "poison"
    TWIN = "twin"
    SAME_FIRST = "same first part"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Asked:
    """One request and its result.

    Attributes:
      at_s: When it was sent, on the monotonic clock.
      status: Status of its answer, 0 if there was none or it was not complete.
    """

    kind: Kind
    at_s: float
    status: int


@dataclass
class PartCallers:
    """Callers of one path of a fleet.

    Attributes:
      poison_part: Part that the poison requests hold.
      asked: The requests that have ended.
    """

    fleet: Fleet
    path: str
    poison_part: str
    asked: list[Asked] = field(default_factory=list)

    async def run(self, kinds: Sequence[Kind], duration_s: float) -> None:
        """Send a request of each kind every PAUSE_S, and wait for the answers."""
        tasks = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            tasks += [asyncio.ensure_future(self.send(kind)) for kind in kinds]
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)

    async def send(self, kind: Kind, node: int | None = None) -> Asked:
        """Send one request, to the next node if none is named, and return its result."""
        number = next(_numbers)
        address = self.fleet.caller_address(
            number % len(self.fleet.nodes) if node is None else node
        )
        parts = ",".join(f"{part}:100" for part in self.parts(kind, number))
        at_s = time.monotonic()
        try:
            got = await ask(
                address,
                self.path,
                method="POST",
                body=b"request %d" % number,
                Prefix_Hash=parts,
                Token_Usage="400,20",
            )
            status = got.status if got.is_complete else 0
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            status = 0
        found = Asked(kind, at_s, status)
        self.asked.append(found)
        return found

    def parts(self, kind: Kind, number: int) -> list[str]:
        """Return the parts of the prompt of a request of a kind, the last one being its own."""
        own = f"{number:08x}"
        match kind:
            case Kind.POISON:
                return [FIRST_PART, self.poison_part, MIDDLE_PART, own]
            case Kind.TWIN:
                return [FIRST_PART, MIDDLE_PART, own]
            case Kind.SAME_FIRST:
                return [FIRST_PART, f"{number:04x}c", own]
            case Kind.OTHER:
                return [f"{number % 3:02x}d", f"{number:04x}e", own]

    def served_share(self, kind: Kind, from_s: float) -> float:
        """Return which share of the requests of a kind sent after a time was served."""
        after = [each for each in self.asked if each.kind is kind and each.at_s >= from_s]
        return sum(each.status == 200 for each in after) / len(after)
