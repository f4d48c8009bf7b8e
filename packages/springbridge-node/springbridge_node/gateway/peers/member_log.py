"""Logs members that join, leave, fall silent or are heard from again.

Silence is the absence of a message, so no arriving message can trigger its log line: the live
members are compared at each heartbeat instead. Each change is logged once, with the age of the last
heartbeat and the peer that reported it, so that a reader can tell a member that ended from one
whose heartbeats arrive late, and both from a stall of this node (`node.stalled`). If many members
change alike at the same heartbeat, as when a fleet starts, one line names them all: a line for each
would exhaust the log's rate limit, and lines about requests would be lost.
"""

from enum import StrEnum

from springbridge.membership import LastHeartbeat, Membership, Phase

from springbridge_node import logs

# Maximum number of members that change alike at one heartbeat and get a line each. Far below the
# number of lines that the log writes in a second.
MAX_SINGLE_LINES = 8


class Change(StrEnum):
    """How a member has changed; the values appear in the log."""

    JOINED = "joined"
    HEARD = "heard"
    SILENT = "silent"
    LEFT = "left"


class MemberLog:
    """Compares the live members at each heartbeat with those at the previous one."""

    def __init__(self, membership: Membership) -> None:
        """Start without known members, so that the first check logs all as joined."""
        self._membership = membership
        self._version = -1
        self._live: set[str] = set()
        self._silent: set[str] = set()

    def check(self) -> None:
        """Log the members that have changed since the last check."""
        version = self._membership.live_version()
        if version == self._version:
            return
        self._version = version
        live = set(self._membership.incarnations()) - {self._membership.me.incarnation}
        appeared = self._last_heard(live - self._live)
        heard_again = [each for each in appeared if each.member.incarnation in self._silent]
        lost = self._last_heard(self._live - live)
        silent = [each for each in lost if each.member.phase is Phase.LIVE]
        _log(Change.JOINED, [each for each in appeared if each not in heard_again])
        _log(Change.HEARD, heard_again)
        _log(Change.SILENT, silent)
        _log(Change.LEFT, [each for each in lost if each not in silent])
        self._live = live
        self._silent |= {each.member.incarnation for each in silent}
        self._silent -= live
        self._silent = {each.member.incarnation for each in self._last_heard(self._silent)}

    def _last_heard(self, incarnations: set[str]) -> list[LastHeartbeat]:
        """Return the last heartbeat of each member, without members already removed."""
        found = [
            self._membership.last_heartbeat(incarnation) for incarnation in sorted(incarnations)
        ]
        return [heard for heard in found if heard is not None]


def _log(change: Change, members: list[LastHeartbeat]) -> None:
    """Log members with the same change, one by one or in a single line."""
    if len(members) > MAX_SINGLE_LINES:
        _log_many(change, members)
        return
    for heard in members:
        _log_one(change, heard)


def _log_many(change: Change, members: list[LastHeartbeat]) -> None:
    """Log many members in a single line."""
    ages_s = [heard.age_s for heard in members]
    logs.event(
        "members.changed",
        change=change,
        instances=sorted(heard.member.instance for heard in members),
        youngest_ms_ago=_milliseconds(min(ages_s)),
        oldest_ms_ago=_milliseconds(max(ages_s)),
    )


def _log_one(change: Change, heard: LastHeartbeat) -> None:
    """Log one member. Each event spells out its fields, since the check of the docs parses them."""
    match change:
        case Change.JOINED:
            logs.event(
                "member.joined",
                incarnation=heard.member.incarnation,
                instance=heard.member.instance,
                heard_ms_ago=_milliseconds(heard.age_s),
                told_by=heard.reported_by,
            )
        case Change.HEARD:
            logs.event(
                "member.heard",
                incarnation=heard.member.incarnation,
                instance=heard.member.instance,
                heard_ms_ago=_milliseconds(heard.age_s),
                told_by=heard.reported_by,
            )
        case Change.SILENT:
            logs.event(
                "member.silent",
                incarnation=heard.member.incarnation,
                instance=heard.member.instance,
                heard_ms_ago=_milliseconds(heard.age_s),
                told_by=heard.reported_by,
            )
        case Change.LEFT:
            logs.event(
                "member.left",
                incarnation=heard.member.incarnation,
                instance=heard.member.instance,
                heard_ms_ago=_milliseconds(heard.age_s),
                told_by=heard.reported_by,
            )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
