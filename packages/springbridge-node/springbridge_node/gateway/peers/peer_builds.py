"""What the builds of peers can read, told from their heartbeats.

A row has no field for a version that older builds would pass over. The heartbeat only has to count
up, so the number that it starts from tells the build.
"""

from enum import Enum, auto

# Heartbeat that builds start from which read ages but answer no requests for members. Builds before
# them count from 0 and do not come near it: four beats a second for eight years.
FIRST_HEARTBEAT_WITH_AGES = 1_000_000_000
# The same of builds that answer those but no questions for permits.
FIRST_HEARTBEAT_WITH_LOOKUPS = 2_000_000_000
# Heartbeat that a node of this build starts from.
FIRST_HEARTBEAT = 3_000_000_000


class Build(Enum):
    """Which digests a peer reads, each with all before it."""

    ROWS = auto()
    AGES = auto()
    LOOKUPS = auto()


def build_of(heartbeat: int) -> Build:
    """Return the build of a member with this heartbeat."""
    if heartbeat >= FIRST_HEARTBEAT_WITH_LOOKUPS:
        return Build.LOOKUPS
    return Build.AGES if heartbeat >= FIRST_HEARTBEAT_WITH_AGES else Build.ROWS


def grants_permits(heartbeat: int) -> bool:
    """Return whether a member with this heartbeat answers questions for permits."""
    return heartbeat >= FIRST_HEARTBEAT
