"""Whether something this node depends on answers, logged once when it changes."""

from springbridge_node import logs


class Dependency:
    """The state of one dependency.

    Attributes:
      up: Whether the last call was answered.
    """

    def __init__(self, name: str) -> None:
        """Begin as if it answered, so that the first failure is logged."""
        self.name = name
        self.up = True

    def answered(self) -> bool:
        """Note an answer and return whether the dependency was lost before."""
        regained = not self.up
        if regained:
            logs.event("dependency.regained", dependency=self.name)
        self.up = True
        return regained

    def failed(self, reason: str) -> None:
        """Note a failed call."""
        if self.up:
            logs.event("dependency.lost", dependency=self.name, reason=reason)
        self.up = False
