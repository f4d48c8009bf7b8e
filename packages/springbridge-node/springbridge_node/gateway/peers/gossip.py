"""Carries the membership's digests between nodes.

A digest may be lost without harm, since the next one says more. What does not change of a member is
told now and then, and always while it is new; the rest of the time its name, heartbeat, phase and
version are enough. Bytes between failure domains cost, and digests are most of what nodes say.
"""

import time
from collections.abc import Callable
from dataclasses import replace

from springbridge.membership import Member, Membership, Phase, SnapshotStatus

from springbridge_node import logs
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

PUSHED_PEERS = 64
WHOLE_EVERY = 12
NEW_FOR_S = 4.0
OTHERS_IN_DIGEST = 4


class Gossip:
    """Sends and receives digests."""

    def __init__(
        self, membership: Membership, datagrams: PeerDatagrams, heard: Callable[[], None]
    ) -> None:
        """Keep the membership and whom to tell when a digest was taken in."""
        self._membership = membership
        self._datagrams = datagrams
        self._heard = heard
        self._sent = 0
        self._first_heard_s: dict[str, float] = {}
        datagrams.handle(Kind.DIGEST, self._take)

    def send(self, peer_addresses: list[str]) -> None:
        """Send this node's digest to peers."""
        self._sent += 1
        whole = self._sent % WHOLE_EVERY == 1
        digest = self._membership.digest()
        members = digest if whole else digest[: OTHERS_IN_DIGEST + 1]
        rows = [
            _whole_row(member) if whole or self._is_new(member) else _short_row(member)
            for member in members
        ]
        self._datagrams.send(Kind.DIGEST, rows, peer_addresses)

    def push(self) -> None:
        """Send this node's digest to all peers at once, for news that must not wait."""
        self.send(self._datagrams.some_peers(PUSHED_PEERS))

    def _take(self, rows: list, sender: str) -> None:
        """Take in a digest."""
        known = set(self._membership.incarnations())
        members = [self._member(row) for row in rows]
        self._membership.merge([member for member in members if member is not None])
        self._log_changes(known)
        self._heard()

    def _member(self, row: list) -> Member | None:
        """Return a member from what travelled, or None if only its changes came and it is new."""
        incarnation, heartbeat, phase, version, confirmed_ago_s, fingerprint, age_s, *fixed = row
        if fixed:
            instance, peer, caller, failure_domain = fixed
            known = Member(incarnation, instance, peer, caller, failure_domain)
        else:
            known = self._membership.find(incarnation)
        if known is None:
            return None
        return replace(
            known,
            heartbeat=heartbeat,
            phase=Phase(phase),
            config_version=version,
            confirmed_ago_s=confirmed_ago_s,
            endpoint_snapshot=SnapshotStatus(fingerprint, age_s),
        )

    def _is_new(self, member: Member) -> bool:
        """Return whether a member may be unknown to others: it was heard of a moment ago."""
        first_s = self._first_heard_s.setdefault(member.incarnation, time.monotonic())
        return time.monotonic() - first_s < NEW_FOR_S

    def forget_gone(self) -> None:
        """Drop what is kept of members that the membership has forgotten."""
        self._first_heard_s = {
            incarnation: first_s
            for incarnation, first_s in self._first_heard_s.items()
            if self._membership.find(incarnation) is not None
        }

    def _log_changes(self, known: set[str]) -> None:
        """Log members that came or left with a digest."""
        now = set(self._membership.incarnations())
        for incarnation in sorted(now - known):
            logs.event("member.joined", incarnation=incarnation)
        for incarnation in sorted(known - now):
            logs.event("member.left", incarnation=incarnation)


def _short_row(member: Member) -> list:
    """Return what changes of a member, as it travels."""
    return [
        member.incarnation,
        member.heartbeat,
        int(member.phase),
        member.config_version,
        round(member.confirmed_ago_s, 2),
        member.endpoint_snapshot.fingerprint,
        round(member.endpoint_snapshot.age_s, 2),
    ]


def _whole_row(member: Member) -> list:
    """Return a member as it travels to nodes that may not know it."""
    fixed = [member.instance, member.peer_address, member.caller_address, member.failure_domain]
    return _short_row(member) + fixed
