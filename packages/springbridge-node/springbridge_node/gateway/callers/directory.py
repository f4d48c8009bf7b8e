"""Selects the instances that a caller should use.

Decided: the addresses in an answer of the directory.
Inputs: the live instances, the caller's failure domain, the host that it wants to reach.
Outcome: at most MAX_ADDRESSES, those of the caller's own failure domain first. In a larger fleet
every instance returns the same addresses for a host, and others for another host.
Why: callers close connections to addresses that a new answer lacks, so answers must not depend on
the instance that gives them; a choice by host spreads the load of all hosts over all instances.
"""

from springbridge.hashing import score
from springbridge.membership import Membership

# Maximum number of addresses in an answer.
MAX_ADDRESSES = 64


class AddressBook:
    """Selects addresses for callers from the membership.

    Attributes:
      ttl_s: How long callers may keep an answer, in seconds.
    """

    def __init__(self, membership: Membership, ttl_s: float) -> None:
        """Answer from a membership, which may change at any time."""
        self._membership = membership
        self.ttl_s = ttl_s

    def addresses_for(self, failure_domain: str, host: str) -> list[str]:
        """Return addresses of instances that run and are not leaving, the preferred ones first.

        Args:
          failure_domain: Failure domain of the caller, empty if it sent none.
          host: Host that the caller wants to reach.
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
        return list(addresses)[:MAX_ADDRESSES]
