"""What a node's next digest holds, and which peers get it.

Gossip spreads what nodes know of each other: every node sends a bounded digest to a few peers at
each beat, so that its cost does not grow with the fleet (SWIM by Das and others, DSN 2002, is the
known reference; its direct probes are left out). The functions are pure but for the random numbers.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from springbridge.member import Member, Phase

# Members in a digest, the sender included. Not measured against other sizes; it bounds a digest's
# cost in a fleet of 380 at 0.75 ms and 2.2 kB (24 x 91 B).
DIGEST_LIMIT = 24
# Seconds between two digests. Measured together with GOSSIP_PEERS on 4 idle nodes: 1.1% of a core,
# against 2.4% with 0.3 s, three peers and a timer for each duty in place of one for all.
GOSSIP_INTERVAL_S = 0.5
# Peers that get each digest; measured together with GOSSIP_INTERVAL_S.
GOSSIP_PEERS = 2


@dataclass
class Observation:
    """A member, and when it last gave a sign of life.

    Attributes:
      at_s: When its heartbeat or phase last moved on, by this node's clock.
      told_by: Incarnation of the peer that told of it, empty where that is not known.
    """

    member: Member
    at_s: float
    told_by: str = ""


def digest_members(
    me: Member, observed: Iterable[Observation], rng: random.Random, now_s: float
) -> list[Member]:
    """Return the members of a digest: this node, then those that leave, then a random rest.

    Members that end come first, because a node must get no request after that. The rest is random,
    so that all members of a large fleet are named in turn. Their ages count on from the moment of
    their observation.

    Args:
      observed: The other members that are not suspected. A digest that named a silent one would
        teach peers anew what they have forgotten, and members that ended would be known for ever.
    """
    candidates = list(observed)
    rng.shuffle(candidates)
    candidates.sort(key=lambda each: each.member.phase is Phase.LIVE)
    chosen = candidates[: DIGEST_LIMIT - 1]
    return [me, *(each.member.aged(now_s - each.at_s) for each in chosen)]


def digest_receivers(
    me: Member, peers: Sequence[Member], count: int, rng: random.Random
) -> list[Member]:
    """Return the peers that get the next digest.

    One is in another failure domain, so that news crosses the border; the others are in this one
    as far as there are enough, because bytes between failure domains cost.

    Args:
      peers: The other members that run.
      count: How many get the digest at most.
    """
    near = [peer for peer in peers if peer.failure_domain == me.failure_domain]
    far = [peer for peer in peers if peer.failure_domain != me.failure_domain]
    rng.shuffle(near)
    rng.shuffle(far)
    return [*far[:1], *near, *far[1:]][:count]
