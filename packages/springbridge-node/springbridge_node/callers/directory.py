"""Which nodes a caller is told to use."""

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

    def addresses_for(self, place: str) -> list[str]:
        """Return the addresses of nodes that run and are not leaving, those of a place first."""
        members = sorted(
            self._membership.live(), key=lambda member: (member.place != place, member.instance)
        )
        addresses = dict.fromkeys(member.caller_address for member in members)
        return list(addresses)[:MOST_ADDRESSES]
