"""Determines which nodes keep the crash records of a service and grant trials of its requests.

Applies the rule of springbridge/trials.py to the live members, and caches the result until these
change.
"""

from springbridge.membership import Member, Membership
from springbridge.trials import trial_coordinators


class TrialCoordinators:
    """The trial coordinators of each service as this node sees them."""

    def __init__(self, membership: Membership) -> None:
        """Create a view of the coordinators among the live members of a membership."""
        self._membership = membership
        self._version = -1
        self._by_service: dict[str, list[Member]] = {}

    def of(self, service: str) -> list[Member]:
        """Return the coordinators of a service, the one that grants trials first."""
        version = self._membership.live_version()
        if version != self._version:
            self._version = version
            self._by_service = {}
        if service not in self._by_service:
            self._by_service[service] = self._ranked(service)
        return self._by_service[service]

    def is_me(self, member: Member) -> bool:
        """Return whether a coordinator is this node."""
        return member.incarnation == self._membership.me.incarnation

    def addresses(self, service: str) -> list[str]:
        """Return the peer addresses of a service's coordinators other than this node."""
        return [each.peer_address for each in self.of(service) if not self.is_me(each)]

    def _ranked(self, service: str) -> list[Member]:
        live = {member.incarnation: member for member in self._membership.live()}
        return [live[name] for name in trial_coordinators(service, live)]
