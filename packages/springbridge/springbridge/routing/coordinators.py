"""Which instances choose endpoints for the others, in a fleet too large to notify everybody.

Decided: the coordinators of a service, and the order in which an instance asks them.
Inputs: the members that are alive, with their incarnation and failure domain; the service's name.
Outcome: the coordinators, the first of each failure domain first. They get the notices of all
requests for the service; the others ask one of them, and choose alone if none answers.
Why: rendezvous hashing over the live members gives every instance the same answer without a
message, so no instance is set aside, many services have many coordinators, and nothing is lost with
one of them.
"""

from collections.abc import Iterable

from springbridge.hashing import score
from springbridge.membership import Member

# Coordinators of a service in each failure domain.
# The second is there to be asked while the first is silent.
COORDINATORS_PER_FAILURE_DOMAIN = 2
# Beginning of the hash key that selects the coordinators. All instances of a mixed fleet have to
# select the same ones, so this text must stay as it is, byte for byte.
ROLE_KEY = "scheduler of requests"


def coordinators(members: Iterable[Member], service: str) -> list[Member]:
    """Return the coordinators of a service, the first of each failure domain first.

    Args:
      members: Those that run and are not leaving.
    """
    by_failure_domain: dict[str, list[Member]] = {}
    for member in members:
        by_failure_domain.setdefault(member.failure_domain, []).append(member)
    key = f"{ROLE_KEY} for {service}"
    ranked = [_ranked(key, by_failure_domain[name]) for name in sorted(by_failure_domain)]
    return [
        candidates[rank]
        for rank in range(COORDINATORS_PER_FAILURE_DOMAIN)
        for candidates in ranked
        if rank < len(candidates)
    ]


def in_order_for(failure_domain: str, found: Iterable[Member]) -> list[Member]:
    """Return coordinators as an instance asks them: those of its own failure domain first."""
    return sorted(found, key=lambda member: member.failure_domain != failure_domain)


def _ranked(key: str, members: list[Member]) -> list[Member]:
    """Return the members of a failure domain, the highest score for a key first."""
    return sorted(members, key=lambda member: score(key, member.incarnation), reverse=True)
