"""Tracks whether a dependency of this node answers, and logs each change.

There is one log line for each change, so that an outage does not flood the log.
"""

from springbridge_node import logs


class Dependency:
    """The availability of one dependency.

    Attributes:
      up: Whether it answered the last call; True before the first call.
    """

    def __init__(self, name: str) -> None:
        """Start as available, so that a first failure is logged.

        Args:
          name: Name of the dependency in the log.
        """
        self._name = name
        self.up = True

    def answered(self) -> bool:
        """Record an answer and return whether it ends an outage."""
        regained = not self.up
        if regained:
            logs.event("dependency.regained", dependency=self._name)
        self.up = True
        return regained

    def failed(self, reason: str) -> None:
        """Record a failed call.

        Args:
          reason: What failed, for the log.
        """
        if self.up:
            logs.event("dependency.lost", dependency=self._name, reason=reason)
        self.up = False
