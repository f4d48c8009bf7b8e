"""Which instance grants the permits of an endpoint that names a rate, and for which part of it.

Decided: the granter of an endpoint and who is asked while it is silent, and the part of the rate
that an instance may grant.
Inputs: the live members, the endpoint's id and failure domain; for how long the instance has been
the granter, and which part of the instances it reaches.
Outcome: members, the granter first; a part between 0 and 1. Instances of the endpoint's own failure
domain come first, as a cut between the two leaves the endpoint out of reach as well.
Why: one instance that counts for all lets few instances use the whole rate and many none of it
twice. Rendezvous hashing names the same one everywhere without a message, spreads the endpoints
over the fleet, and names another one as soon as the granter is no longer live.

Where instances see different members, several are asked for permits of the same endpoint. Each
grants the part of the rate that its reachable members are of all that may be running, so that the
sides of a cut do not grant more than the rate together. One that has become the granter only now,
or is none by its own view, grants little: another one may still be asked by some.
"""

import heapq
from collections.abc import Iterable

from springbridge.hashing import score
from springbridge.member import Member

# Beginning of the hash key that selects the granter. All instances of a mixed fleet have to select
# the same one, so this text must stay as it is, byte for byte.
ROLE_KEY = "granter of permits"
# Instances that may be asked in place of a granter that does not answer, one after another. With
# one, a granter that has ended costs an endpoint little until it is noticed.
SUBSTITUTES = 1
# Seconds in which instances may still ask the granter before. They notice the end of an instance
# within about three seconds of each other in a fleet of hundreds.
HANDOVER_S = 3.0
# Part of the rate that is granted meanwhile. Three such granters beside the one before keep within
# one and a half times the rate.
HANDOVER_PART = 0.15


def granters(members: Iterable[Member], endpoint_id: str, failure_domain: str) -> list[Member]:
    """Return the granter of an endpoint and its substitutes, none without members.

    Args:
      members: Those that run and are not leaving.
      failure_domain: Of the endpoint.
    """
    key = f"{ROLE_KEY} for {endpoint_id}"

    def rank(member: Member) -> tuple[bool, float]:
        return member.failure_domain == failure_domain, score(key, member.incarnation)

    return heapq.nlargest(1 + SUBSTITUTES, members, key=rank)


def granted_part(tenure_s: float, reached_share: float) -> float:
    """Return which part of an endpoint's rate an instance may grant.

    Args:
      tenure_s: For how many seconds it has been the granter by its own view, 0 if it is not.
      reached_share: Which part of the instances that may be running it reaches, itself included.
    """
    return reached_share if tenure_s >= HANDOVER_S else HANDOVER_PART * reached_share
