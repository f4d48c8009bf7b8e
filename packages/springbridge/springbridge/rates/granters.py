"""Which instance grants the permits of an endpoint that names a rate, and for which part of it.

Decided: the granter of an endpoint. Inputs: the live members, the endpoint's id and failure domain.
Outcome: a member, or None without members. An instance of the endpoint's own failure domain is
taken if there is one, as a cut between the two leaves the endpoint out of reach as well.
Why: one instance that counts for all lets few instances use the whole rate and many none of it
twice. Rendezvous hashing names the same one everywhere without a message, spreads the endpoints
over the fleet, and names another one as soon as the granter is no longer live.

Where instances see different members there may be several granters of an endpoint. Each grants the
part of the rate that its reachable members are of all that may be running (`reached_share()` of the
membership), so that the sides of a cut do not grant more than the rate together.
"""

from collections.abc import Iterable

from springbridge.hashing import score
from springbridge.member import Member

# Beginning of the hash key that selects the granter. All instances of a mixed fleet have to select
# the same one, so this text must stay as it is, byte for byte.
ROLE_KEY = "granter of permits"


def granter(members: Iterable[Member], endpoint_id: str, failure_domain: str) -> Member | None:
    """Return the granter of an endpoint.

    Args:
      members: Those that run and are not leaving.
      failure_domain: Of the endpoint.
    """
    live = list(members)
    near = [member for member in live if member.failure_domain == failure_domain]
    key = f"{ROLE_KEY} for {endpoint_id}"
    return max(near or live, key=lambda member: score(key, member.incarnation), default=None)
