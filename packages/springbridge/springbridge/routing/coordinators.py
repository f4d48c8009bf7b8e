"""Coordinators: the instances that choose endpoints for all others in a large fleet.

Used in a fleet too large to send load notices to every instance. Decides the coordinators of a
service and the order in which an instance asks them.
Inputs: the live members with their incarnation and failure domain; the service's name.
Result: the coordinators, the first of each failure domain first. They get the load notices of all
requests for the service. The other instances ask one of them, and choose alone if none answers.
Rendezvous hashing over the live members gives every instance the same result without messages. So
no instance has to be dedicated, different services have different coordinators, and the loss of one
coordinator loses no data.
"""

from collections.abc import Iterable

from springbridge.hashing import score
from springbridge.membership import Member

# Coordinators of a service in each failure domain. The second is asked while the first is silent.
COORDINATORS_PER_FAILURE_DOMAIN = 2
# Prefix of the hash key that selects the coordinators. Instances of all releases in a fleet must
# select the same ones, so it must never change, not even by a byte.
ROLE_KEY = "scheduler of requests"


def coordinators(members: Iterable[Member], service: str) -> list[Member]:
    """Return the coordinators of a service, the first of each failure domain first.

    Args:
      members: The members that are running and not leaving.
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
    """Return coordinators in the order to ask them: those of the own failure domain first."""
    return sorted(found, key=lambda member: member.failure_domain != failure_domain)


def _ranked(key: str, members: list[Member]) -> list[Member]:
    """Return the members of a failure domain by descending hash score for a key."""
    return sorted(members, key=lambda member: score(key, member.incarnation), reverse=True)
