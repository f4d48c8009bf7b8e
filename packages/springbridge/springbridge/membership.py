"""Which nodes are alive, as one node sees it.

The platform's list of nodes lags, so it only seeds the view; what counts is the heartbeat that each
member counts up while it runs. A member whose heartbeat stands still is suspected after some
seconds and left out of all choices, whatever the list says. Leaving is final for an incarnation. A
frozen node that wakes up finds all others silent by its own clock, so it trusts nobody until it has
got their digests again.

digest.py has what nodes send each other, and to whom; member.py has the records.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from springbridge.digest import (
    DIGEST_LIMIT,
    GOSSIP_INTERVAL_S,
    GOSSIP_PEERS,
    Observation,
    digest_members,
    digest_receivers,
)
from springbridge.member import Member, Phase, SnapshotStatus

__all__ = [
    "DIGEST_LIMIT",
    "FORGET_S",
    "GOSSIP_INTERVAL_S",
    "SUSPECT_S",
    "LastHeard",
    "Member",
    "Membership",
    "Pace",
    "Phase",
    "SnapshotStatus",
]

# Seconds for which a heartbeat may stand still before its member is suspected. Not measured; five
# gossip intervals, so that a few lost digests do not make a live member suspect.
SUSPECT_S = 2.5
# Seconds of silence after which a member is forgotten. Not measured; chosen far above SUSPECT_S,
# because a member behind a cut has to be tried again, and counts for the majority meanwhile.
FORGET_S = 60.0


@dataclass(frozen=True)
class Pace:
    """How fast news travels and silence counts.

    Attributes:
      peers: Random peers that get each digest.
      suspect_s: Seconds for which a heartbeat may stand still.
    """

    peers: int = GOSSIP_PEERS
    suspect_s: float = SUSPECT_S


@dataclass(frozen=True)
class LastHeard:
    """How a member was last heard of.

    Attributes:
      ago_s: Seconds since its last sign of life.
      told_by: Incarnation of the peer that told of it, the member's own if it did so itself.
    """

    member: Member
    ago_s: float
    told_by: str


class Membership:
    """This node's view of all nodes, itself included."""

    def __init__(
        self,
        me: Member,
        clock: Callable[[], float],
        rng: random.Random,
        pace: Pace | None = None,
    ):
        """Start with only this node known."""
        self.me = me
        self._pace = pace or Pace()
        self._clock = clock
        self._rng = rng
        self._observed: dict[str, Observation] = {}
        self._listed: set[str] = set()
        self._list_was_read = False

    def beat(
        self,
        config_version: int,
        confirmed_ago_s: float,
        table_out: bool,
        endpoint_snapshot: SnapshotStatus | None = None,
    ) -> None:
        """Count up this node's heartbeat and state what it has.

        Args:
          endpoint_snapshot: Left out by nodes that do not share lists of endpoints.
        """
        self.me = replace(
            self.me,
            heartbeat=self.me.heartbeat + 1,
            config_version=config_version,
            confirmed_ago_s=confirmed_ago_s,
            table_out=table_out,
            endpoint_snapshot=endpoint_snapshot or self.me.endpoint_snapshot,
        )

    def leave(self) -> None:
        """Mark this node as leaving; it stays so until it ends."""
        self.me = replace(self.me, phase=max(self.me.phase, Phase.LEAVING))

    def end(self) -> None:
        """Mark this node as gone, for a last message to the others."""
        self.me = replace(self.me, phase=Phase.GONE, heartbeat=self.me.heartbeat + 1)

    def merge(self, members: Iterable[Member], told_by: str = "") -> None:
        """Take in a digest: the higher heartbeat wins, and phases only move forward.

        Args:
          told_by: Incarnation of the peer that sent it, for last_heard().
        """
        now_s = self._clock()
        for member in members:
            if member.incarnation != self.me.incarnation:
                self._merge_one(member, now_s, told_by)

    def _merge_one(self, member: Member, now_s: float, told_by: str) -> None:
        observed = self._observed.get(member.incarnation)
        if observed is None:
            self._observed[member.incarnation] = Observation(member, now_s, told_by)
            return
        phase = max(observed.member.phase, member.phase)
        if member.heartbeat > observed.member.heartbeat:
            observed.member = replace(member, phase=phase)
        elif phase != observed.member.phase:
            observed.member = replace(observed.member, phase=phase)
        else:
            return
        observed.at_s = now_s
        observed.told_by = told_by

    def set_listed(self, peer_addresses: Iterable[str]) -> None:
        """Take in the platform's list of peer addresses, without those listed as leaving."""
        self._list_was_read = True
        self._listed = set(peer_addresses) - {self.me.peer_address}

    def lost_contact(self, incarnation: str) -> None:
        """Note that the connection to a member broke: half the time to suspicion is over."""
        observed = self._observed.get(incarnation)
        if observed is not None:
            observed.at_s = min(observed.at_s, self._clock() - self._pace.suspect_s / 2)

    def is_live(self) -> bool:
        """Return whether this node itself is neither leaving nor gone."""
        return self.me.phase is Phase.LIVE

    def live(self) -> list[Member]:
        """Return the members that run and are not leaving, this node included if it is."""
        found = [each.member for each in self._observed.values() if self._is_live(each)]
        if self.is_live():
            found.append(self.me)
        return found

    def reachable(self) -> list[Member]:
        """Return the other members that still run, leaving ones included."""
        return [each.member for each in self._running()]

    def find(self, incarnation: str) -> Member | None:
        """Return a member unless it is known to be gone, however long it was silent."""
        if incarnation == self.me.incarnation:
            return self.me
        observed = self._observed.get(incarnation)
        if observed is None or observed.member.phase is Phase.GONE:
            return None
        return observed.member

    def last_heard(self, incarnation: str) -> LastHeard | None:
        """Return how another member was last heard of, or None if it is not known."""
        observed = self._observed.get(incarnation)
        if observed is None:
            return None
        return LastHeard(observed.member, self._clock() - observed.at_s, observed.told_by)

    def snapshot_ages(self) -> list[tuple[Member, float]]:
        """Return the other members that run, and the age of their endpoint lists in seconds."""
        now_s = self._clock()
        return [
            (each.member, each.member.endpoint_snapshot.age_s + now_s - each.at_s)
            for each in self._running()
        ]

    def confirmations(self) -> list[tuple[Member, float]]:
        """Return the other members that run, and the seconds since their version's confirmation."""
        now_s = self._clock()
        return [
            (each.member, each.member.confirmed_ago_s + now_s - each.at_s)
            for each in self._running()
        ]

    def incarnations(self) -> list[str]:
        """Return the incarnations of live(), the candidates for roles."""
        return [member.incarnation for member in self.live()]

    def sees_majority(self) -> bool:
        """Return whether this node reaches more than half of all nodes that may be running.

        What the platform lists counts, reachable or not. A suspected member that is not listed has
        ended; while no list was read, it counts until it is forgotten.
        """
        reachable = {member.peer_address for member in self.reachable()}
        possible = reachable | self._listed
        if not self._list_was_read:
            possible |= self._suspected_addresses()
        return 2 * (len(reachable) + 1) > len(possible) + 1

    def digest(self) -> list[Member]:
        """Return what to send to a peer: this node, leaving members, and a bounded rest."""
        observed = (each for each in self._observed.values() if not self._is_suspected(each))
        return digest_members(self.me, observed, self._rng, self._clock())

    def gossip_targets(self) -> list[str]:
        """Return the peer addresses to send the next digest to, one of them perhaps silent."""
        receivers = digest_receivers(self.me, self.reachable(), self._pace.peers, self._rng)
        addresses = {member.peer_address for member in receivers}
        return sorted(addresses | self._address_to_retry())

    def _address_to_retry(self) -> set[str]:
        """Return one listed or suspected address, so that a lost or new peer is found again."""
        reachable = {member.peer_address for member in self.reachable()}
        known = {each.member.peer_address for each in self._observed.values()}
        candidates = sorted((self._listed | known) - reachable - {self.me.peer_address})
        return {self._rng.choice(candidates)} if candidates else set()

    def forget_old(self) -> None:
        """Drop members that were silent for FORGET_S."""
        limit_s = self._clock() - FORGET_S
        self._observed = {
            name: observed for name, observed in self._observed.items() if observed.at_s > limit_s
        }

    def _suspected_addresses(self) -> set[str]:
        """Return the addresses of suspected members that are not known to be gone."""
        return {
            each.member.peer_address
            for each in self._observed.values()
            if each.member.phase is not Phase.GONE and self._is_suspected(each)
        }

    def _running(self) -> list[Observation]:
        """Return the other members that run, leaving ones included."""
        return [
            each
            for each in self._observed.values()
            if each.member.phase is not Phase.GONE and not self._is_suspected(each)
        ]

    def _is_live(self, observed: Observation) -> bool:
        return observed.member.phase is Phase.LIVE and not self._is_suspected(observed)

    def _is_suspected(self, observed: Observation) -> bool:
        return self._clock() - observed.at_s > self._suspect_s()

    def _suspect_s(self) -> float:
        """Return the seconds to suspicion.

        Where a digest cannot hold all members, each is named less often, so the time grows with
        the fleet. It is long for the largest: 40 s with the default pace and 380 members.
        """
        return self._pace.suspect_s * max(1.0, len(self._observed) / DIGEST_LIMIT)
