"""Which instances schedule prompts in a fleet too large for all to know of every request.

In a small fleet each instance hears of all requests and chooses engines itself. In a large one a
few instances of each failure domain hear of all requests, and the others ask one of them. The role
follows from hashing over the live members, so nobody is set aside for it, and nothing is lost with
a scheduler: the next in the order is asked, and an instance that nobody answers chooses alone.
"""

from collections.abc import Iterable

from springbridge.hashing import score
from springbridge.membership import Member

SCHEDULERS_IN_A_PLACE = 2
ROLE_KEY = "scheduler of prompts"


def schedulers(members: Iterable[Member]) -> list[Member]:
    """Return the members that schedule, the first of each failure domain before the second.

    Args:
      members: Those that run and are not leaving.
    """
    by_place: dict[str, list[Member]] = {}
    for member in members:
        by_place.setdefault(member.place, []).append(member)
    chosen = []
    for place in sorted(by_place):
        ranked = sorted(by_place[place], key=_rank, reverse=True)
        chosen += enumerate(ranked[:SCHEDULERS_IN_A_PLACE])
    return [member for _, member in sorted(chosen, key=lambda pair: pair[0])]


def in_order_for(place: str, found: Iterable[Member]) -> list[Member]:
    """Return the schedulers as an instance asks them: those of its own failure domain first."""
    return sorted(found, key=lambda member: member.place != place)


def _rank(member: Member) -> float:
    return score(ROLE_KEY, member.incarnation)
