"""Which instances schedule prompts in a fleet too large for all to know of every request.

In a small fleet each instance hears of all requests and chooses engines itself. In a large one a
few instances of each failure domain hear of all requests for a service, and the others ask one of
them. The role follows from hashing over the live members, for each service apart, so that nobody is
set aside for it and many services have many schedulers. Nothing is lost with one: the next in the
order is asked, and an instance that nobody answers chooses alone.
"""

from collections.abc import Iterable

from springbridge.hashing import score
from springbridge.membership import Member

SCHEDULERS_IN_A_PLACE = 2
ROLE_KEY = "scheduler of requests"


def schedulers(members: Iterable[Member], service: str) -> list[Member]:
    """Return the members that schedule a service, the first of each failure domain first.

    Args:
      members: Those that run and are not leaving.
    """
    by_place: dict[str, list[Member]] = {}
    for member in members:
        by_place.setdefault(member.place, []).append(member)
    key = f"{ROLE_KEY} for {service}"
    chosen = []
    for place in sorted(by_place):
        ranked = sorted(
            by_place[place], key=lambda member: score(key, member.incarnation), reverse=True
        )
        chosen += enumerate(ranked[:SCHEDULERS_IN_A_PLACE])
    return [member for _, member in sorted(chosen, key=lambda pair: pair[0])]


def in_order_for(place: str, found: Iterable[Member]) -> list[Member]:
    """Return the schedulers as an instance asks them: those of its own failure domain first."""
    return sorted(found, key=lambda member: member.place != place)
