"""Selects the instance that grants an endpoint's permits, and the share of the rate it may grant.

Granters are selected by rendezvous hashing over the live members, from the endpoint's id. Instances
in the endpoint's own failure domain come first: if a network partition separates a caller from
them, it cannot reach the endpoint either.

With one instance counting for all, a few instances can use the whole rate, and many do not exceed
it. Rendezvous hashing selects the same granter everywhere without a message, spreads the endpoints
over the fleet, and selects another one as soon as the granter is no longer live.

Where instances see different members, several granters are asked for permits of the same endpoint.
Each grants the share of the rate that its reachable members are of all that may be running, so that
the sides of a network partition together do not grant more than the rate. An instance that has just
become the granter, or is not the granter by its own view, grants only a small share: some instances
may still ask another one.
"""

import heapq
from collections.abc import Iterable

from springbridge.hashing import score
from springbridge.member import Member

# Prefix of the hash key that selects the granter. All instances of a fleet with mixed versions have
# to select the same one, so this text must stay as it is, byte for byte.
ROLE_KEY = "granter of permits"
# Number of fallback granters, asked one after another if the granter does not answer. With one, an
# endpoint loses little of its rate until the end of its granter is detected.
FALLBACK_GRANTERS = 1
# Seconds during which instances may still ask the previous granter. In a fleet of hundreds they
# detect the end of an instance within about three seconds of each other.
HANDOVER_S = 3.0
# Share of the rate that is granted meanwhile. Three such granters beside the previous one stay
# within one and a half times the rate.
HANDOVER_SHARE = 0.15


def granters(members: Iterable[Member], endpoint_id: str, failure_domain: str) -> list[Member]:
    """Return the granter of an endpoint followed by its fallbacks; empty without members.

    Args:
      members: Those that run and are not leaving.
      endpoint_id: Id of the endpoint.
      failure_domain: Of the endpoint.
    """
    key = f"{ROLE_KEY} for {endpoint_id}"

    def rank(member: Member) -> tuple[bool, float]:
        return member.failure_domain == failure_domain, score(key, member.incarnation)

    return heapq.nlargest(1 + FALLBACK_GRANTERS, members, key=rank)


def granted_share(tenure_s: float, reached_share: float) -> float:
    """Return the share of an endpoint's rate that an instance may grant, 0 to 1.

    Args:
      tenure_s: For how many seconds it has been the granter by its own view, 0 if it is not.
      reached_share: Share of the possibly running instances that it reaches, itself included.
    """
    return reached_share if tenure_s >= HANDOVER_S else HANDOVER_SHARE * reached_share
