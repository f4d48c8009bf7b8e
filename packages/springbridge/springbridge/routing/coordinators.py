"""Which instances schedule prompts in a fleet too large for all to know of every request.

In a small fleet each instance hears of all requests and chooses endpoints itself. In a large one a
few instances of each failure domain hear of all requests for a service, and the others ask one of
them. The role follows from hashing over the live members, for each service apart, so that nobody is
set aside for it and many services have many coordinators. Nothing is lost with one: the next in the
order is asked, and an instance that nobody answers chooses alone.
"""

from collections.abc import Iterable

from springbridge.hashing import score
from springbridge.membership import Member

COORDINATORS_PER_FAILURE_DOMAIN = 2
ROLE_KEY = "scheduler of requests"


def coordinators(members: Iterable[Member], service: str) -> list[Member]:
    """Return the members that schedule a service, the first of each failure domain first.

    Args:
      members: Those that run and are not leaving.
    """
    by_failure_domain: dict[str, list[Member]] = {}
    for member in members:
        by_failure_domain.setdefault(member.failure_domain, []).append(member)
    key = f"{ROLE_KEY} for {service}"
    chosen = []
    for failure_domain in sorted(by_failure_domain):
        ranked = sorted(
            by_failure_domain[failure_domain],
            key=lambda member: score(key, member.incarnation),
            reverse=True,
        )
        chosen += enumerate(ranked[:COORDINATORS_PER_FAILURE_DOMAIN])
    return [member for _, member in sorted(chosen, key=lambda pair: pair[0])]


def in_order_for(failure_domain: str, found: Iterable[Member]) -> list[Member]:
    """Return the coordinators as an instance asks them: those of its own failure domain first."""
    return sorted(found, key=lambda member: member.failure_domain != failure_domain)
