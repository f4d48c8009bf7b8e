"""Determines from a peer's heartbeat which messages its build supports.

A member's row has no version field, and older builds would not ignore an additional one. The
heartbeat only has to increase, so the number from which it starts identifies the build.
"""

from enum import Enum, auto

# First heartbeat of builds that read ages but answer no member requests. Earlier builds count from
# 0 and would reach it only after eight years at four heartbeats a second.
FIRST_HEARTBEAT_WITH_AGES = 1_000_000_000
# First heartbeat of builds that answer member requests but no permit requests.
FIRST_HEARTBEAT_WITH_LOOKUPS = 2_000_000_000
# First heartbeat of builds that answer permit requests, but neither requests for places nor for
# tunnels.
FIRST_HEARTBEAT_WITH_PERMITS = 3_000_000_000
# First heartbeat of builds that answer these, but keep no origins of streams.
FIRST_HEARTBEAT_WITH_PLACES = 4_000_000_000
# First heartbeat of builds that keep origins, but do not record versions before they use them.
FIRST_HEARTBEAT_WITH_ORIGINS = 5_000_000_000
# First heartbeat of this build.
FIRST_HEARTBEAT = 6_000_000_000


class Build(Enum):
    """Message formats that a peer supports; each includes those before it."""

    ROWS = auto()
    AGES = auto()
    LOOKUPS = auto()


def build_of(heartbeat: int) -> Build:
    """Return which formats a member with this heartbeat supports."""
    if heartbeat >= FIRST_HEARTBEAT_WITH_LOOKUPS:
        return Build.LOOKUPS
    return Build.AGES if heartbeat >= FIRST_HEARTBEAT_WITH_AGES else Build.ROWS


def grants_permits(heartbeat: int) -> bool:
    """Return whether a member with this heartbeat answers permit requests."""
    return heartbeat >= FIRST_HEARTBEAT_WITH_PERMITS


def grants_places(heartbeat: int) -> bool:
    """Return whether a member with this heartbeat answers requests for places."""
    return heartbeat >= FIRST_HEARTBEAT_WITH_PLACES


def keeps_origins(heartbeat: int) -> bool:
    """Return whether a member with this heartbeat keeps the origins of streams for others."""
    return heartbeat >= FIRST_HEARTBEAT_WITH_ORIGINS


def records_versions(heartbeat: int) -> bool:
    """Return whether a member with this heartbeat records versions before it uses them."""
    return heartbeat >= FIRST_HEARTBEAT
