"""A mechanism taken out of the packages, and the test that has to fail then."""

from dataclasses import dataclass

LIBRARY = "packages/springbridge/springbridge"
NODE = "packages/springbridge-node/springbridge_node"
PLATFORM = "platform/springbridge_platform"
STANDINS = "packages/springbridge-standins/springbridge_standins"


@dataclass(frozen=True)
class Mutant:
    """One mechanism taken out.

    Attributes:
      name: The mechanism.
      module: File that holds it.
      old: Text that is replaced.
      new: What takes its place.
      tests: File and name of the tests that have to fail.
    """

    name: str
    module: str
    old: str
    new: str
    tests: str
