"""Assigns each endpoint to the node that schedules it.

By rendezvous hashing over the live members each node computes the same assignment, so no message
is needed.
"""

from collections.abc import Callable

from springbridge.classes.slots.scheduler import scheduling_node
from springbridge.membership import Membership

from springbridge_node.class_router.config.config_sync import ConfigSync


class SchedulerRoles:
    """The scheduling node of each endpoint, as of the last check()."""

    def __init__(
        self, config: ConfigSync, membership: Membership, changed: Callable[[], None]
    ) -> None:
        """Start without assignments.

        Args:
          changed: Called when the scheduling node of any endpoint has changed.
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
        """Reassign if the members or the table changed; call changed if any assignment differs."""
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
