"""Which nodes are alive, as one node sees it.

The platform's list of nodes lags, so it only seeds the view; what counts is the heartbeat that each
member counts up while it runs. A member whose last known heartbeat is some seconds old is suspected
and left out of all choices, whatever the list says. Leaving is final for an incarnation. A frozen
node that wakes up finds all others silent by its own clock, so it trusts nobody until it has got
their digests again.

The age of a heartbeat counts from the moment at which its member sent it: what a third node tells
of comes with its age. All nodes then suspect a member that ended at about the same moment, however
long its last heartbeats are passed on. With the moment of arrival in its place an ended node would
be counted for as long as they are.

observations.py has who counts as running; digest.py has what nodes send each other, and to whom;
suspicion.py says how old a last heartbeat may be; member.py has the records.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from springbridge.digest import (
    DIGEST_LIMIT,
    GOSSIP_INTERVAL_S,
    Observation,
    as_told,
    digest_members,
    digest_receivers,
    freshest,
)
from springbridge.member import HeartbeatAge, Member, Phase, SnapshotStatus
from springbridge.observations import Observations
from springbridge.suspicion import SUSPECT_S, Pace, stretch_by_digests, stretch_by_hops

__all__ = [
    "DIGEST_LIMIT",
    "FORGET_S",
    "GOSSIP_INTERVAL_S",
    "SUSPECT_S",
    "HeartbeatAge",
    "LastHeard",
    "Member",
    "Membership",
    "Pace",
    "Phase",
    "SnapshotStatus",
    "stretch_by_digests",
    "stretch_by_hops",
]

# Seconds of silence after which a member is forgotten. Far above SUSPECT_S, because a member behind
# a cut has to be tried again, and counts for the majority meanwhile.
FORGET_S = 60.0


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
        self._others = Observations(clock, self._pace)
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
        heard_s = now_s - member.heard_ago_s
        observed = self._others.find(member.incarnation)
        if observed is None:
            self._others.add(Observation(member, now_s, heard_s, told_by))
            return
        phase = max(observed.member.phase, member.phase)
        if member.heartbeat > observed.member.heartbeat:
            stated = member if phase is member.phase else replace(member, phase=phase)
            self._others.state(observed, stated)
            observed.stated_s = now_s
        elif phase != observed.member.phase:
            self._others.state(observed, replace(observed.member, phase=phase))
        else:
            return
        self._others.hear(observed, heard_s, told_by)

    def merge_ages(self, ages: Iterable[HeartbeatAge], told_by: str) -> None:
        """Take in the ages of heartbeats as a peer knows them; the younger one counts.

        Args:
          ages: Those of members that this node does not know are passed over.
          told_by: Incarnation of that peer.
        """
        now_s = self._clock()
        for age in ages:
            observed = self._others.find(age.incarnation)
            if observed is not None:
                self._others.hear(observed, now_s - age.ago_s, told_by)

    def set_listed(self, peer_addresses: Iterable[str]) -> None:
        """Take in the platform's list of peer addresses, without those listed as leaving."""
        self._list_was_read = True
        self._listed = set(peer_addresses) - {self.me.peer_address}

    def lost_contact(self, incarnation: str) -> None:
        """Note that the connection to a member broke: half the time to suspicion is over."""
        observed = self._others.find(incarnation)
        if observed is not None:
            self._others.doubt(observed, self._clock() - self._pace.suspect_s / 2)

    def is_live(self) -> bool:
        """Return whether this node itself is neither leaving nor gone."""
        return self.me.phase is Phase.LIVE

    def live(self) -> list[Member]:
        """Return the members that run and are not leaving, this node included if it is."""
        found = [each.member for each in self._others.live()]
        if self.is_live():
            found.append(self.me)
        return found

    def live_count(self) -> int:
        """Return how many members live() has."""
        return len(self._others.live()) + self.is_live()

    def live_version(self) -> int:
        """Return a number that changes whenever the other members in live() do."""
        # Asking who is live notices the changes that time alone makes.
        self._others.live()
        return self._others.version

    def reachable(self) -> list[Member]:
        """Return the other members that still run, leaving ones included."""
        return [each.member for each in self._others.running()]

    def find(self, incarnation: str) -> Member | None:
        """Return a member unless it is known to be gone, however long it was silent."""
        if incarnation == self.me.incarnation:
            return self.me
        observed = self._others.find(incarnation)
        if observed is None or observed.member.phase is Phase.GONE:
            return None
        return observed.member

    def last_heard(self, incarnation: str) -> LastHeard | None:
        """Return how another member was last heard of, or None if it is not known."""
        observed = self._others.find(incarnation)
        if observed is None:
            return None
        return LastHeard(observed.member, self._clock() - observed.heard_s, observed.told_by)

    def snapshot_ages(self) -> list[tuple[Member, float]]:
        """Return the other members that run, and the age of their endpoint lists in seconds."""
        now_s = self._clock()
        return [
            (each.member, each.member.endpoint_snapshot.age_s + now_s - each.stated_s)
            for each in self._others.running()
        ]

    def confirmations(self) -> list[tuple[Member, float]]:
        """Return the other members that run, and the seconds since their version's confirmation."""
        now_s = self._clock()
        return [
            (each.member, each.member.confirmed_ago_s + now_s - each.stated_s)
            for each in self._others.running()
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

    def reached_share(self) -> float:
        """Return which part of the instances that may be running this node reaches.

        Both counts have this node in them. Members that fell silent count until they are forgotten
        or come back at their address: they may be on the other side of a cut.
        """
        reachable = {member.peer_address for member in self.reachable()}
        possible = reachable | self._suspected_addresses()
        return (len(reachable) + 1) / (len(possible - {self.me.peer_address}) + 1)

    def digest(self, limit: int = DIGEST_LIMIT) -> list[Member]:
        """Return what to send to a peer: this node, leaving members, and a bounded rest.

        Args:
          limit: Most members in it, this node included.
        """
        return digest_members(self.me, self._others.heard(), self._rng, self._clock(), limit)

    def tell_of(self, incarnations: Iterable[str]) -> list[Member]:
        """Return some of the other members as this node tells of them, without unknown ones."""
        found = [self._others.find(incarnation) for incarnation in incarnations]
        now_s = self._clock()
        return [as_told(observed, now_s) for observed in found if observed is not None]

    def heartbeat_ages(self, limit: int) -> list[HeartbeatAge]:
        """Return the youngest ages of other members that run, at most a number of them."""
        return freshest(self._others.running(), limit, self._clock())

    def gossip_targets(self) -> list[str]:
        """Return the peer addresses to send the next digest to, one of them perhaps silent."""
        receivers = digest_receivers(self.me, self.reachable(), self._pace.peers, self._rng)
        addresses = {member.peer_address for member in receivers}
        return sorted(addresses | self._address_to_retry())

    def _address_to_retry(self) -> set[str]:
        """Return one listed or suspected address, so that a lost or new peer is found again."""
        reachable = {member.peer_address for member in self.reachable()}
        known = {each.member.peer_address for each in self._others.all()}
        candidates = sorted((self._listed | known) - reachable - {self.me.peer_address})
        return {self._rng.choice(candidates)} if candidates else set()

    def forget_old(self) -> None:
        """Drop members that were silent for FORGET_S."""
        self._others.forget_before(self._clock() - FORGET_S)

    def _suspected_addresses(self) -> set[str]:
        """Return the addresses of suspected members that are not known to be gone."""
        return {each.member.peer_address for each in self._others.suspected()}
