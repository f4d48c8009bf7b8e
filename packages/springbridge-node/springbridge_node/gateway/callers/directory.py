"""Which nodes a caller is told to use.

An answer holds a bounded number of addresses. A larger fleet is told in part: the same part by
every node, since callers close connections to addresses that a new answer lacks, and another part
for each host, so that the load of all hosts spreads over all nodes.
"""

from springbridge.hashing import score
from springbridge.membership import Membership

MOST_ADDRESSES = 64


class AddressBook:
    """Answers callers from the membership.

    Attributes:
      ttl_s: How long callers may keep an answer.
    """

    def __init__(self, membership: Membership, ttl_s: float) -> None:
        """Keep the membership."""
        self._membership = membership
        self.ttl_s = ttl_s

    def addresses_for(self, failure_domain: str, host: str) -> list[str]:
        """Return the addresses of nodes that run and are not leaving, those of a place first.

        Args:
          host: What the caller wants to reach.
        """
        key = f"{host} from {failure_domain}"
        members = sorted(
            self._membership.live(),
            key=lambda member: (
                member.failure_domain != failure_domain,
                score(key, member.incarnation),
            ),
        )
        addresses = dict.fromkeys(member.caller_address for member in members)
        return list(addresses)[:MOST_ADDRESSES]
