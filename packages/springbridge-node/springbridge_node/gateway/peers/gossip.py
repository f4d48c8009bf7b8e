"""Sends this node's membership digests to peers and merges theirs.

A digest may be lost without harm, since the next one supersedes it. It has a few members as rows,
the sender first, and the ages of most members' heartbeats (age_vector.py), by which peers tell who
is alive. To save bytes between failure domains, rows leave out what does not change of a member
(addresses, failure domain). A peer that does not know a member asks for it (member_lookup.py).

Peers of builds that do not ask get whole rows of new members, and of many in every WHOLE_EVERYth
digest. Nodes of builds before ages, and addresses that nobody is known at, get a plain digest: rows
alone. What such a digest tells of a third node that does send ages is no sign of life.
"""

from collections.abc import Callable, Iterable, Iterator

from springbridge.member import NEVER_S
from springbridge.membership import HeartbeatAge, Member, Membership

from springbridge_node import clock
from springbridge_node.gateway.peers import age_vector, codec
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.member_lookup import MemberLookup
from springbridge_node.gateway.peers.peer_builds import Build, build_of

# Peers that get news at once, whatever the size of the fleet. It bounds the burst of datagrams; the
# digests of the next beats reach the others.
PUSHED_PEERS = 64
# One digest in so many has all members whole, about every third second.
WHOLE_EVERY = 12
# Seconds for which a member is sent whole after this node first sent it, since peers may not know
# it yet. Longer than the time between two whole digests.
NEW_FOR_S = 4.0
# Rows of other members in a plain digest.
OTHERS_IN_PLAIN_DIGEST = 4
# Rows of other members in a digest with ages that is not whole. Two rows less than in a plain one
# make room for the ages.
OTHERS_WITH_AGES = 2
# Ages in a digest, at the least. With fewer a view is at times older than the time to suspicion
# where datagrams are lost.
AGES_AT_LEAST = 48
# Ages in a digest, as a share of a larger fleet.
AGES_SHARE = 1 / 3


class Gossip:
    """Sends and receives digests."""

    def __init__(
        self,
        membership: Membership,
        datagrams: PeerDatagrams,
        received: Callable[[], None],
        may_tell: Callable[[], bool] = lambda: True,
    ) -> None:
        """Start to take in digests.

        Args:
          received: Called after each digest that was merged.
          may_tell: Returns whether this node may tell peers of itself unasked or asked. A node that
            was never ready may not: they would send callers to it.
        """
        self._membership = membership
        self._datagrams = datagrams
        self._received = received
        self._may_tell = may_tell
        self._sent = 0
        self._first_sent_s: dict[str, float] = {}
        self._names: dict[int, str] = {}
        self._own_key = age_vector.key_of(membership.me.incarnation)
        self._lookup = MemberLookup(membership, datagrams, may_tell)
        datagrams.handle(Kind.DIGEST, self._take_plain)
        datagrams.handle(Kind.AGED_DIGEST, self._take_with_ages)

    def send(self, peer_addresses: list[str]) -> None:
        """Send this node's digest to peers, to each in the form that its build reads."""
        by_build: dict[Build, list[str]] = {}
        for address, build in self._builds(peer_addresses):
            by_build.setdefault(build, []).append(address)
        if Build.LOOKUPS in by_build:
            self._send_short(by_build[Build.LOOKUPS])
        if Build.AGES in by_build:
            self._send_whole_in_turn(by_build[Build.AGES])
        if Build.ROWS in by_build:
            members = self._membership.digest(OTHERS_IN_PLAIN_DIGEST + 1)
            rows = [codec.member_row(member) for member in members]
            self._datagrams.send(Kind.DIGEST, rows, by_build[Build.ROWS])

    def push(self) -> None:
        """Send what this node states of itself to up to PUSHED_PEERS peers, if it must not wait."""
        peer_addresses = self._datagrams.sample_peers(PUSHED_PEERS)
        self._datagrams.send(Kind.DIGEST, self._rows([self._membership.me]), peer_addresses)

    def _builds(self, peer_addresses: list[str]) -> Iterator[tuple[str, Build]]:
        """Yield peer addresses with the builds there; a stranger may be of the oldest one."""
        heartbeats = {peer.peer_address: peer.heartbeat for peer in self._membership.reachable()}
        for address in peer_addresses:
            yield address, build_of(heartbeats.get(address, 0))

    def _send_short(self, peer_addresses: list[str]) -> None:
        """Send a digest with ages to peers that ask for the members that they do not know."""
        me, *others = self._membership.digest(OTHERS_WITH_AGES + 1)
        rows = self._rows([me]) + [codec.state_row(member) for member in others]
        self._send_with_ages([me, *others], rows, peer_addresses)

    def _send_whole_in_turn(self, peer_addresses: list[str]) -> None:
        """Send a digest with ages to peers that do not ask."""
        self._sent += 1
        if self._sent % WHOLE_EVERY == 1:
            members = self._membership.digest()
            rows = [codec.member_row(member) for member in members]
        else:
            members = self._membership.digest(OTHERS_WITH_AGES + 1)
            rows = self._rows(members)
        self._send_with_ages(members, rows, peer_addresses)

    def _send_with_ages(
        self, members: list[Member], rows: list[list], peer_addresses: list[str]
    ) -> None:
        """Send the rows of members and the ages of most members."""
        text = age_vector.encode(self._ages(members))
        self._datagrams.send(Kind.AGED_DIGEST, [text, *rows], peer_addresses)

    def _ages(self, members: list[Member]) -> list[HeartbeatAge]:
        """Return the ages for a digest: those of the members in its rows, then the youngest."""
        in_rows = [HeartbeatAge(member.incarnation, member.heard_ago_s) for member in members[1:]]
        named = {age.incarnation for age in in_rows}
        limit = max(AGES_AT_LEAST, round(len(self._membership.reachable()) * AGES_SHARE))
        youngest = self._membership.heartbeat_ages(limit)
        return in_rows + [age for age in youngest if age.incarnation not in named]

    def _rows(self, members: list[Member]) -> list[list]:
        """Return the rows of members, whole for those that peers may not know yet."""
        return [
            codec.member_row(member) if self._is_new(member) else codec.state_row(member)
            for member in members
        ]

    def _take_plain(self, rows: list, sender: str) -> None:
        """Merge a digest without ages."""
        self._merge(rows, sender, _ago_s_without_ages)

    def _take_with_ages(self, rows: list, sender: str) -> None:
        """Merge a digest with ages."""
        text, *member_rows = rows
        ages = age_vector.decode(text)
        self._merge(
            member_rows,
            sender,
            lambda row: ages.get(age_vector.key_of(codec.incarnation_of(row)), NEVER_S),
        )
        self._ask_for_unknown(ages, member_rows[0], sender)
        named = [
            HeartbeatAge(self._names[key], ago_s)
            for key, ago_s in ages.items()
            if key in self._names
        ]
        self._membership.merge_ages(named, reported_by=member_rows[0][0])

    def _ask_for_unknown(self, keys: Iterable[int], teller: list, sender: str) -> None:
        """Ask the sender of a digest for itself and the members that only its ages name."""
        if build_of(codec.heartbeat_of(teller)) is not Build.LOOKUPS:
            return
        named = [age_vector.key_of(codec.incarnation_of(teller)), *keys]
        unknown = [key for key in named if key not in self._names and key != self._own_key]
        if unknown:
            self._lookup.ask(unknown, sender)

    def _merge(self, rows: list, sender: str, heard_ago_s: Callable[[list], float]) -> None:
        """Merge the members of rows, the sender's first, and greet a sender that is new.

        Args:
          heard_ago_s: Returns the age of the heartbeat in another member's row.
        """
        find = self._membership.find
        teller, *others = rows
        is_new = find(codec.incarnation_of(teller)) is None
        read = [codec.read_member(teller, find)]
        read += [codec.read_member(row, find, heard_ago_s(row)) for row in others]
        members = [member for member in read if member is not None]
        for member in members:
            self._names[age_vector.key_of(member.incarnation)] = member.incarnation
        self._membership.merge(members, reported_by=teller[0])
        self._received()
        reads_lookups = build_of(codec.heartbeat_of(teller)) is Build.LOOKUPS
        if is_new and reads_lookups and self._may_tell():
            # A node that starts would wait for seconds until it is drawn as a receiver.
            self._send_short([sender])

    def _is_new(self, member: Member) -> bool:
        """Return whether this node first sent a member so recently that peers may not know it."""
        now_s = clock.now_s()
        first_s = self._first_sent_s.setdefault(member.incarnation, now_s)
        return now_s - first_s < NEW_FOR_S

    def forget_gone(self) -> None:
        """Drop what is kept of members that the membership has forgotten."""
        self._first_sent_s = {
            incarnation: first_s
            for incarnation, first_s in self._first_sent_s.items()
            if self._membership.find(incarnation) is not None
        }
        self._lookup.forget_asked()
        self._names = {
            key: incarnation
            for key, incarnation in self._names.items()
            if self._membership.find(incarnation) is not None
        }


def _ago_s_without_ages(row: list) -> float:
    """Return the age of the heartbeat in a third node's row of a plain digest.

    A node that sends ages is heard of by them. Of one that does not, nothing better is known than
    that the news came now.
    """
    return 0.0 if build_of(codec.heartbeat_of(row)) is Build.ROWS else NEVER_S
