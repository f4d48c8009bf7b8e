"""Cluster membership by gossip: one node's view of which nodes are alive.

The platform's list of nodes lags, so it only seeds the view. A member is alive while its heartbeat
counter advances: once its last known heartbeat is some seconds old it is suspected and excluded
from every selection, whatever the list says. Leaving is final for an incarnation. A node that
resumes after a freeze finds all others silent by its own clock, so it trusts none of them until
it has received their digests again.

The age of a heartbeat counts from the moment at which its member sent it; a heartbeat relayed by a
third node carries its age. All nodes then suspect a member that ended at about the same moment,
however long its last heartbeats circulate. If ages counted from the arrival, an ended node would
count as alive for as long as they do.

observations.py computes who counts as running; digest.py selects what nodes send each other, and to
whom; suspicion.py sets how old a last heartbeat may be; member.py has the records.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from springbridge.digest import (
    DIGEST_LIMIT,
    GOSSIP_INTERVAL_S,
    Observation,
    digest_members,
    digest_receivers,
    with_current_ages,
    youngest_heartbeats,
)
from springbridge.member import HeartbeatAge, Member, Phase, SnapshotStatus
from springbridge.observations import Observations
from springbridge.suspicion import SUSPECT_S, GossipTiming, stretch_by_digests, stretch_by_hops

__all__ = [
    "DIGEST_LIMIT",
    "FORGET_S",
    "GOSSIP_INTERVAL_S",
    "SUSPECT_S",
    "HeartbeatAge",
    "LastHeartbeat",
    "Member",
    "Membership",
    "GossipTiming",
    "Phase",
    "SnapshotStatus",
    "stretch_by_digests",
    "stretch_by_hops",
]

# Seconds without a heartbeat after which a member is forgotten. Far above SUSPECT_S, because a
# member behind a network partition has to be retried, and counts for the majority meanwhile.
FORGET_S = 60.0


@dataclass(frozen=True)
class LastHeartbeat:
    """The last known heartbeat of a member.

    Attributes:
      age_s: Seconds since the member sent it.
      reported_by: Incarnation of the peer that reported it, the member's own if it came directly.
    """

    member: Member
    age_s: float
    reported_by: str


class Membership:
    """This node's view of all nodes, itself included."""

    def __init__(
        self,
        me: Member,
        clock: Callable[[], float],
        rng: random.Random,
        pace: GossipTiming | None = None,
    ):
        """Create a view that has only this node.

        Args:
          me: This node.
          clock: Returns monotonic time in seconds.
          rng: Selects the receivers and the contents of digests.
          pace: The defaults if None.
        """
        self.me = me
        self._pace = pace or GossipTiming()
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
        """Increment this node's heartbeat and update its own state.

        Args:
          config_version: Version of the operators' configuration in force.
          confirmed_ago_s: Seconds since that version was confirmed as the newest.
          table_out: Whether the operators' table is unreachable.
          endpoint_snapshot: None on nodes that do not share lists of endpoints.
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
        """Mark this node as leaving until it ends."""
        self.me = replace(self.me, phase=max(self.me.phase, Phase.LEAVING))

    def end(self) -> None:
        """Mark this node as gone, for its last digest to the others."""
        self.me = replace(self.me, phase=Phase.GONE, heartbeat=self.me.heartbeat + 1)

    def merge(self, members: Iterable[Member], reported_by: str = "") -> None:
        """Merge a digest: the higher heartbeat wins, and phases only move forward.

        Args:
          members: The digest.
          reported_by: Incarnation of the peer that sent it, for last_heartbeat().
        """
        now_s = self._clock()
        for member in members:
            if member.incarnation != self.me.incarnation:
                self._merge_member(member, now_s, reported_by)

    def _merge_member(self, member: Member, now_s: float, reported_by: str) -> None:
        heartbeat_s = now_s - member.heard_ago_s
        observed = self._others.find(member.incarnation)
        if observed is None:
            self._others.add(Observation(member, now_s, heartbeat_s, reported_by))
            return
        phase = max(observed.member.phase, member.phase)
        if member.heartbeat > observed.member.heartbeat:
            merged = member if phase is member.phase else replace(member, phase=phase)
            self._others.update(observed, merged)
            observed.received_s = now_s
        elif phase != observed.member.phase:
            self._others.update(observed, replace(observed.member, phase=phase))
        else:
            return
        self._others.record_heartbeat(observed, heartbeat_s, reported_by)

    def merge_ages(self, ages: Iterable[HeartbeatAge], reported_by: str) -> None:
        """Merge the heartbeat ages known to a peer; the younger age wins.

        Args:
          ages: Those of members that this node does not know are ignored.
          reported_by: Incarnation of that peer.
        """
        now_s = self._clock()
        for age in ages:
            observed = self._others.find(age.incarnation)
            if observed is not None:
                self._others.record_heartbeat(observed, now_s - age.age_s, reported_by)

    def set_listed(self, peer_addresses: Iterable[str]) -> None:
        """Replace the platform's list of peer addresses; those listed as leaving are not in it."""
        self._list_was_read = True
        self._listed = set(peer_addresses) - {self.me.peer_address}

    def lost_contact(self, incarnation: str) -> None:
        """Record a broken connection to a member.

        Its last heartbeat counts as at least half the base suspicion time old from now on.
        """
        observed = self._others.find(incarnation)
        if observed is not None:
            self._others.cap_heartbeat(observed, self._clock() - self._pace.suspect_s / 2)

    def is_live(self) -> bool:
        """Return whether this node itself is neither leaving nor gone."""
        return self.me.phase is Phase.LIVE

    def live(self) -> list[Member]:
        """Return the members that run and are not leaving, including this node if it is one."""
        found = [each.member for each in self._others.live()]
        if self.is_live():
            found.append(self.me)
        return found

    def live_count(self) -> int:
        """Return the number of members in live()."""
        return len(self._others.live()) + self.is_live()

    def live_version(self) -> int:
        """Return a number that changes whenever the other members in live() do."""
        # This call detects members that became suspected only because time has passed.
        self._others.live()
        return self._others.version

    def reachable(self) -> list[Member]:
        """Return the other members that still run, leaving ones included."""
        return [each.member for each in self._others.running()]

    def find(self, incarnation: str) -> Member | None:
        """Return a member, suspected ones included; None if it is unknown or gone."""
        if incarnation == self.me.incarnation:
            return self.me
        observed = self._others.find(incarnation)
        if observed is None or observed.member.phase is Phase.GONE:
            return None
        return observed.member

    def last_heartbeat(self, incarnation: str) -> LastHeartbeat | None:
        """Return the last heartbeat of another member, or None if the member is not known."""
        observed = self._others.find(incarnation)
        if observed is None:
            return None
        return LastHeartbeat(
            observed.member, self._clock() - observed.heartbeat_s, observed.reported_by
        )

    def snapshot_ages(self) -> list[tuple[Member, float]]:
        """Return the other members that run, and the age of their endpoint lists in seconds."""
        now_s = self._clock()
        return [
            (each.member, each.member.endpoint_snapshot.age_s + now_s - each.received_s)
            for each in self._others.running()
        ]

    def confirmations(self) -> list[tuple[Member, float]]:
        """Return the other members that run, and the seconds since their version's confirmation."""
        now_s = self._clock()
        return [
            (each.member, each.member.confirmed_ago_s + now_s - each.received_s)
            for each in self._others.running()
        ]

    def incarnations(self) -> list[str]:
        """Return the incarnations of the members in live(), the candidates for roles."""
        return [member.incarnation for member in self.live()]

    def sees_majority(self) -> bool:
        """Return whether this node reaches more than half of all nodes that may be running.

        Nodes on the platform's list count, reachable or not. A suspected member that is not listed
        has ended; as long as no list was read, it counts until it is forgotten.
        """
        reachable = {member.peer_address for member in self.reachable()}
        possible = reachable | self._listed
        if not self._list_was_read:
            possible |= self._suspected_addresses()
        return 2 * (len(reachable) + 1) > len(possible) + 1

    def reached_share(self) -> float:
        """Return the share of the possibly running instances that this node reaches, 0 to 1.

        Both counts include this node. Suspected members count until they are forgotten or come
        back at their address: they may be on the other side of a network partition.
        """
        reachable = {member.peer_address for member in self.reachable()}
        possible = reachable | self._suspected_addresses()
        return (len(reachable) + 1) / (len(possible - {self.me.peer_address}) + 1)

    def digest(self, limit: int = DIGEST_LIMIT) -> list[Member]:
        """Return the digest to send to a peer: this node, leaving members, and random others.

        Args:
          limit: Maximum number of members in it, this node included.
        """
        return digest_members(self.me, self._others.unsuspected(), self._rng, self._clock(), limit)

    def known_members(self, incarnations: Iterable[str]) -> list[Member]:
        """Return the known ones of some other members, with their ages as of now."""
        found = [self._others.find(incarnation) for incarnation in incarnations]
        now_s = self._clock()
        return [with_current_ages(observed, now_s) for observed in found if observed is not None]

    def heartbeat_ages(self, limit: int) -> list[HeartbeatAge]:
        """Return the youngest heartbeat ages of other running members, at most `limit`."""
        return youngest_heartbeats(self._others.running(), limit, self._clock())

    def gossip_targets(self) -> list[str]:
        """Return the peer addresses for the next digest, including one unreachable one to retry."""
        receivers = digest_receivers(self.me, self.reachable(), self._pace.fanout, self._rng)
        addresses = {member.peer_address for member in receivers}
        return sorted(addresses | self._address_to_retry())

    def _address_to_retry(self) -> set[str]:
        """Return one listed or suspected address at random, to find new and lost peers.

        The set is empty if all known addresses are reachable.
        """
        reachable = {member.peer_address for member in self.reachable()}
        known = {each.member.peer_address for each in self._others.all()}
        candidates = sorted((self._listed | known) - reachable - {self.me.peer_address})
        return {self._rng.choice(candidates)} if candidates else set()

    def unmet_addresses(self) -> list[str]:
        """Return the peer addresses on the platform's list at which no member is reachable.

        To a node that has just started these are all others.
        """
        met = {member.peer_address for member in self.reachable()} | {self.me.peer_address}
        return sorted(self._listed - met)

    def forget_old(self) -> None:
        """Drop members whose last heartbeat is older than FORGET_S."""
        self._others.forget_before(self._clock() - FORGET_S)

    def _suspected_addresses(self) -> set[str]:
        """Return the addresses of suspected members that are not known to be gone."""
        return {each.member.peer_address for each in self._others.suspected()}
