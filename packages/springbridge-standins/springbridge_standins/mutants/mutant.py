"""A mutant: an edit that removes a mechanism, and the tests that have to fail then."""

from dataclasses import dataclass

LIBRARY = "packages/springbridge/springbridge"
NODE = "packages/springbridge-node/springbridge_node"
PLATFORM = "platform/springbridge_platform"
STANDINS = "packages/springbridge-standins/springbridge_standins"


@dataclass(frozen=True)
class Mutant:
    """An edit of one source file that removes a mechanism.

    Attributes:
      name: Description of the mechanism, by which mutants are selected.
      module: Path of the source file.
      old: Text that is replaced; it occurs exactly once in the file.
      new: Replacement of the text.
      tests: File, or file and name, of the tests that have to fail.
    """

    name: str
    module: str
    old: str
    new: str
    tests: str
