"""Logs each member that joins, leaves, falls silent or is heard again.

Silence is the absence of a message, so nothing that arrives can log it: the members are compared
at each beat instead. A line is written once for each change, with the age of the last heartbeat and
the peer that told of it, so that a reader can tell a member that ended from one whose heartbeats
come late, and either from a node that stood still itself (`node.stalled`).
"""

from springbridge.membership import LastHeard, Membership, Phase

from springbridge_node import logs


class MemberLog:
    """Compares the live members at each beat with those of the beat before."""

    def __init__(self, membership: Membership) -> None:
        """Start with no member known."""
        self._membership = membership
        self._live: set[str] = set()
        self._silent: set[str] = set()

    def check(self) -> None:
        """Log what has changed since the last check."""
        live = set(self._membership.incarnations()) - {self._membership.me.incarnation}
        for heard in self._last_heard(live - self._live):
            self._log_live(heard)
        for heard in self._last_heard(self._live - live):
            self._log_lost(heard)
        self._live = live
        self._silent = {heard.member.incarnation for heard in self._last_heard(self._silent)}

    def _last_heard(self, incarnations: set[str]) -> list[LastHeard]:
        """Return how members were last heard of, without those that are forgotten."""
        found = [self._membership.last_heard(incarnation) for incarnation in sorted(incarnations)]
        return [heard for heard in found if heard is not None]

    def _log_live(self, heard: LastHeard) -> None:
        """Log a member that is new, or that was silent."""
        incarnation = heard.member.incarnation
        if incarnation in self._silent:
            self._silent.discard(incarnation)
            logs.event(
                "member.heard",
                incarnation=incarnation,
                instance=heard.member.instance,
                heard_ms_ago=_milliseconds(heard.ago_s),
                told_by=heard.told_by,
            )
        else:
            logs.event(
                "member.joined",
                incarnation=incarnation,
                instance=heard.member.instance,
                heard_ms_ago=_milliseconds(heard.ago_s),
                told_by=heard.told_by,
            )

    def _log_lost(self, heard: LastHeard) -> None:
        """Log a member that leaves, or that has fallen silent."""
        incarnation = heard.member.incarnation
        if heard.member.phase is Phase.LIVE:
            self._silent.add(incarnation)
            logs.event(
                "member.silent",
                incarnation=incarnation,
                instance=heard.member.instance,
                heard_ms_ago=_milliseconds(heard.ago_s),
                told_by=heard.told_by,
            )
        else:
            logs.event(
                "member.left",
                incarnation=incarnation,
                instance=heard.member.instance,
                heard_ms_ago=_milliseconds(heard.ago_s),
                told_by=heard.told_by,
            )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
