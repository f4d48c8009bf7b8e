"""Failure detector timeout: how old a last heartbeat may be before its member is suspected.

The timeout depends on the number of nodes and on how many of them a digest names. A suspected
member is excluded from every selection. A shorter timeout excludes nodes that run, since their
heartbeats take several hops to spread; a longer one sends callers to nodes that have ended.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from springbridge.digest import DIGEST_LIMIT, GOSSIP_PEERS

# Age in seconds of a last heartbeat beyond which its member is suspected. Five gossip intervals, so
# that a few lost digests do not make a live member suspected.
SUSPECT_S = 2.5
# Growth of the suspicion time for each doubling of the fleet beyond DIGEST_LIMIT nodes, where
# digests carry the heartbeat ages of a third of the fleet. Simulated with a tenth of the datagrams
# lost: 78 running nodes wrongly suspect each other 0.04% of the time, and views of 380 nodes that
# know each other are too old 0.06% of it.
GROWTH_PER_DOUBLING = 0.33


def stretch_by_digests(nodes: int) -> float:
    """Return the factor on the suspicion time where digests name at most DIGEST_LIMIT members.

    In a larger fleet each member is named less often. The resulting time is long in the largest:
    40 s with the default timing and 380 nodes.
    """
    return max(1.0, nodes / DIGEST_LIMIT)


def stretch_by_hops(nodes: int) -> float:
    """Return the factor on the suspicion time where digests have the ages of most members.

    The remaining delay is the number of hops between nodes, which grows with the logarithm of the
    fleet size: 1.2 s for up to 24 nodes becomes 1.9 s for 78 and 2.8 s for 380.
    """
    return 1.0 + GROWTH_PER_DOUBLING * max(0.0, math.log2(nodes / DIGEST_LIMIT))


@dataclass(frozen=True)
class GossipTiming:
    """Fan-out of the gossip, and the timeout of the failure detector.

    Attributes:
      fanout: Number of random peers that get each digest.
      suspect_s: Age in seconds of a last heartbeat beyond which its member is suspected.
      stretch: Returns the factor on suspect_s for a number of nodes; at least 1.
    """

    fanout: int = GOSSIP_PEERS
    suspect_s: float = SUSPECT_S
    stretch: Callable[[int], float] = stretch_by_digests
