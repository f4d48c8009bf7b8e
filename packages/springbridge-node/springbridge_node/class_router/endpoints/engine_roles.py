"""Which node schedules each endpoint, by hashing over the live members."""

from collections.abc import Callable

from springbridge.classes.slots.scheduler import scheduling_node
from springbridge.membership import Membership

from springbridge_node.class_router.config.config_sync import ConfigSync


class EngineRoles:
    """The schedulers of all endpoints, as of the last look at the members."""

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
        """Return the incarnation that schedules an endpoint, None where nobody is known to."""
        return self._roles.get(endpoint)

    def check(self) -> None:
        """Look at the members; move asks and slots when an endpoint's scheduler has changed."""
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
