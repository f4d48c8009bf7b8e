"""Which nodes are alive: the platform's lagging list as a seed, corrected by what nodes exchange.

Each node sends a digest of what it knows to a few random peers a second, one of them in another
failure domain (a bounded push gossip; SWIM, Das and others, DSN 2002, is the known reference). A
member's heartbeat counts up while it runs, so a member whose heartbeat stands still is suspected
after SUSPECT_S and left out of all choices, whatever the platform's list says. Leaving is final for
an incarnation and travels ahead of everything else. A frozen node that wakes up sees that its own
clock jumped and holds back until it has heard from the others again.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

DIGEST_LIMIT = 24
GOSSIP_INTERVAL_S = 0.5
GOSSIP_PEERS = 2
SUSPECT_S = 2.5
FORGET_S = 60.0


class Phase(IntEnum):
    """Phase of a member; it only ever moves forward."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


@dataclass(frozen=True)
class SnapshotStatus:
    """The list of endpoints as a node tells of it.

    Attributes:
      fingerprint: Hash of its content; two nodes with the same fingerprint have the same list.
    """

    fingerprint: int = 0
    age_s: float = 1e9


@dataclass(frozen=True)
class Member:
    """What is known of one incarnation of a node.

    Attributes:
      incarnation: Instance name and a random part, new at each start.
      peer_address: IP number and port for peers.
      caller_address: IP number and port for callers.
      heartbeat: Counts up while the node runs.
      config_version: Version of the operators' table that the node has in force.
      confirmed_ago_s: How long ago the node, or somebody it heard from, read that version as the
        newest from the platform's table.
      table_out: Whether the node cannot reach the platform's table.
      endpoint_snapshot: What list of endpoints the node has, and how old it was at the heartbeat.
    """

    incarnation: str
    instance: str
    peer_address: str
    caller_address: str
    failure_domain: str
    heartbeat: int = 0
    phase: Phase = Phase.LIVE
    config_version: int = 0
    confirmed_ago_s: float = 1e9
    table_out: bool = False
    endpoint_snapshot: SnapshotStatus = SnapshotStatus()


@dataclass(frozen=True)
class Pace:
    """How fast news travels and silence counts.

    Attributes:
      peers: Random peers that get each digest.
      suspect_s: Time for which a heartbeat may stand still.
    """

    peers: int = GOSSIP_PEERS
    suspect_s: float = SUSPECT_S


@dataclass
class Known:
    """A member and when its heartbeat last moved, on this node's clock."""

    member: Member
    heard_s: float


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
        self._known: dict[str, Known] = {}
        self._listed: set[str] = set()
        self._list_was_read = False

    def beat(
        self,
        config_version: int,
        confirmed_ago_s: float,
        table_out: bool,
        endpoint_snapshot: SnapshotStatus | None = None,
    ) -> None:
        """Count up this node's heartbeat and state what it knows of configuration and engines."""
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

    def merge(self, members: Iterable[Member]) -> None:
        """Take in a digest: the higher heartbeat wins, and phases only move forward."""
        now_s = self._clock()
        for member in members:
            if member.incarnation != self.me.incarnation:
                self._merge_one(member, now_s)

    def _merge_one(self, member: Member, now_s: float) -> None:
        known = self._known.get(member.incarnation)
        if known is None:
            self._known[member.incarnation] = Known(member, now_s)
            return
        phase = max(known.member.phase, member.phase)
        if member.heartbeat > known.member.heartbeat:
            known.member = replace(member, phase=phase)
            known.heard_s = now_s
        elif phase != known.member.phase:
            known.member = replace(known.member, phase=phase)
            known.heard_s = now_s

    def set_listed(self, peer_addresses: Iterable[str]) -> None:
        """Take in the platform's list of peer addresses, without those listed as leaving."""
        self._list_was_read = True
        self._listed = set(peer_addresses) - {self.me.peer_address}

    def lost_contact(self, incarnation: str) -> None:
        """Note that the connection to a member broke: suspect it unless its heartbeat moves on."""
        known = self._known.get(incarnation)
        if known is not None:
            known.heard_s = min(known.heard_s, self._clock() - self._pace.suspect_s / 2)

    def is_live(self) -> bool:
        """Return whether this node itself is neither leaving nor gone."""
        return self.me.phase is Phase.LIVE

    def live(self) -> list[Member]:
        """Return the members that run and are not leaving, this node included if it is."""
        found = [known.member for known in self._known.values() if self._is_live(known)]
        if self.is_live():
            found.append(self.me)
        return found

    def reachable(self) -> list[Member]:
        """Return the other members that still run, leaving ones included."""
        return [known.member for known in self._heard()]

    def find(self, incarnation: str) -> Member | None:
        """Return a member that is not known to be gone, however long it was silent."""
        if incarnation == self.me.incarnation:
            return self.me
        known = self._known.get(incarnation)
        if known is None or known.member.phase is Phase.GONE:
            return None
        return known.member

    def snapshot_ages(self) -> list[tuple[Member, float]]:
        """Return the other members that run, and how old their lists of endpoints are by now."""
        now_s = self._clock()
        return [
            (known.member, known.member.endpoint_snapshot.age_s + now_s - known.heard_s)
            for known in self._heard()
        ]

    def confirmations(self) -> list[tuple[Member, float]]:
        """Return the other members that run, and how long ago their versions were confirmed."""
        now_s = self._clock()
        return [
            (known.member, known.member.confirmed_ago_s + now_s - known.heard_s)
            for known in self._heard()
        ]

    def incarnations(self) -> list[str]:
        """Return the incarnations of live(), the candidates for roles."""
        return [member.incarnation for member in self.live()]

    def sees_majority(self) -> bool:
        """Return whether this node hears from more than half of all that may be running.

        All on the platform's list count, heard or not. A silent member that the list does not name
        has ended; while no list was read, it counts until it was silent for FORGET_S.
        """
        heard = {member.peer_address for member in self.reachable()}
        possible = heard | self._listed
        if not self._list_was_read:
            possible |= self._silent_addresses()
        return 2 * (len(heard) + 1) > len(possible) + 1

    def digest(self) -> list[Member]:
        """Return what to send to a peer: this node, leaving members, and a bounded rest.

        Only what was heard of a moment ago is told on. Who told more would teach the others anew
        what they have forgotten, and members that ended would be known for ever.
        """
        known = [entry for entry in self._known.values() if self._is_heard(entry)]
        self._rng.shuffle(known)
        known.sort(key=lambda entry: entry.member.phase is Phase.LIVE)
        now_s = self._clock()
        return [self.me, *(_as_old_as_now(entry, now_s) for entry in known[: DIGEST_LIMIT - 1])]

    def gossip_targets(self) -> list[str]:
        """Return the peer addresses to send the next digest to.

        One goes to another failure domain, the others to this one's members as far as there are
        enough, since bytes between failure domains cost.
        """
        members = self.reachable()
        near = [member for member in members if member.failure_domain == self.me.failure_domain]
        far = [member for member in members if member.failure_domain != self.me.failure_domain]
        self._rng.shuffle(near)
        self._rng.shuffle(far)
        targets = [*far[:1], *near, *far[1:]][: self._pace.peers]
        addresses = {member.peer_address for member in targets}
        return sorted(addresses | self._unheard_addresses())

    def _unheard_addresses(self) -> set[str]:
        """Return one listed or silent address, so that a lost or new peer is found again."""
        heard = {member.peer_address for member in self.reachable()}
        silent = {known.member.peer_address for known in self._known.values()}
        candidates = sorted((self._listed | silent) - heard - {self.me.peer_address})
        return {self._rng.choice(candidates)} if candidates else set()

    def forget_old(self) -> None:
        """Drop members that were silent for long."""
        limit_s = self._clock() - FORGET_S
        self._known = {
            name: known for name, known in self._known.items() if known.heard_s > limit_s
        }

    def _silent_addresses(self) -> set[str]:
        """Return the addresses of members that were heard once and are not known to be gone."""
        return {
            known.member.peer_address
            for known in self._known.values()
            if known.member.phase is not Phase.GONE and not self._is_heard(known)
        }

    def _heard(self) -> list[Known]:
        """Return the other members that run, leaving ones included."""
        return [
            known
            for known in self._known.values()
            if known.member.phase is not Phase.GONE and self._is_heard(known)
        ]

    def _is_heard(self, known: Known) -> bool:
        return self._clock() - known.heard_s <= self._suspect_s()

    def _suspect_s(self) -> float:
        """Return the time to suspicion, longer where a digest cannot hold all members."""
        return self._pace.suspect_s * max(1.0, len(self._known) / DIGEST_LIMIT)

    def _is_live(self, known: Known) -> bool:
        return known.member.phase is Phase.LIVE and self._is_heard(known)


def _as_old_as_now(known: Known, now_s: float) -> Member:
    """Return a member whose ages count on from when it was heard, to be told on."""
    since_s = now_s - known.heard_s
    member = known.member
    endpoint_snapshot = replace(
        member.endpoint_snapshot, age_s=member.endpoint_snapshot.age_s + since_s
    )
    return replace(
        member,
        endpoint_snapshot=endpoint_snapshot,
        confirmed_ago_s=member.confirmed_ago_s + since_s,
    )
