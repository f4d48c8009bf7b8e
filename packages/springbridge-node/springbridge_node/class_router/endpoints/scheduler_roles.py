"""Which node schedules each endpoint.

Rendezvous hashing gives each node the same answer from the live members, so no message is needed.
"""

from collections.abc import Callable

from springbridge.classes.slots.scheduler import scheduling_node
from springbridge.membership import Membership

from springbridge_node.class_router.config.config_sync import ConfigSync


class SchedulerRoles:
    """The scheduling node of each endpoint, as of the last check of the members."""

    def __init__(
        self, config: ConfigSync, membership: Membership, changed: Callable[[], None]
    ) -> None:
        """Keep the parts.

        Args:
          changed: Called when an endpoint's scheduler has changed.
        """
        self._config = config
        self._membership = membership
        self._changed = changed
        self._roles: dict[str, str | None] = {}
        self._roles_from: tuple[int, tuple[str, ...]] = (0, ())

    def scheduler_of(self, endpoint: str) -> str | None:
        """Return the incarnation that schedules an endpoint, or None for an unknown endpoint."""
        return self._roles.get(endpoint)

    def check(self) -> None:
        """Hash again if members or table changed, and report a change of any scheduler."""
        live = tuple(sorted(self._membership.incarnations()))
        version = self._config.table.version
        if (version, live) == self._roles_from:
            return
        self._roles_from = (version, live)
        endpoints = self._config.table.endpoints
        roles = {name: scheduling_node(name, live) for name in endpoints}
        if roles != self._roles:
            self._roles = roles
            self._changed()
