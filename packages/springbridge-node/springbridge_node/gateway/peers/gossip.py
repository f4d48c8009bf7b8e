"""Sends this node's membership digests to peers and merges the digests received from them.

A digest may be lost, since the next one supersedes it. It carries a few members as rows, the sender
first, and the heartbeat ages of most members (age_vector.py), from which the receiver's failure
detector works. To save bytes between failure domains, rows leave out the static fields of a member
(addresses, failure domain). A peer that does not know a member requests it (member_lookup.py).

Peers of builds without member lookup get full rows of new members, and a digest of many full rows
in every DIGESTS_PER_FULL_DIGESTth digest. Nodes of builds without ages, and addresses at which no
member is known, get a plain digest: rows alone. A heartbeat that a plain digest reports of a third
node is not taken as a sign of life if that node sends ages itself.
"""

from collections.abc import Callable, Iterable, Iterator

from springbridge.member import NEVER_S
from springbridge.membership import HeartbeatAge, Member, Membership

from springbridge_node import clock
from springbridge_node.gateway.peers import age_vector, codec
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.member_lookup import MemberLookup
from springbridge_node.gateway.peers.peer_builds import Build, build_of

# Peers that an urgent update is sent to at once, whatever the size of the fleet. This bounds the
# burst of datagrams; periodic digests reach the other peers.
MAX_PUSHED_PEERS = 64
# One digest in this many consists of full rows, about one every 3 s.
DIGESTS_PER_FULL_DIGEST = 12
# Seconds for which a member is sent as a full row after this node first sent it, since peers may
# not know it yet. Longer than the time between two full digests.
NEW_MEMBER_S = 4.0
# Rows of other members in a plain digest.
OTHERS_IN_PLAIN_DIGEST = 4
# Rows of other members in a digest with ages that is not a full one. Two rows fewer than in a plain
# digest make room for the ages.
OTHERS_IN_AGED_DIGEST = 2
# Minimum number of ages in a digest. With fewer, and where datagrams are lost, a node's view is at
# times older than the suspicion timeout.
MIN_AGES = 48
# Number of ages in a digest as a share of the fleet, where that is more than MIN_AGES.
AGES_SHARE = 1 / 3


class Gossip:
    """Sends and receives digests."""

    def __init__(
        self,
        membership: Membership,
        datagrams: PeerDatagrams,
        on_merged: Callable[[], None],
        may_announce: Callable[[], bool] = lambda: True,
    ) -> None:
        """Register the handlers for digests.

        Args:
          on_merged: Called after each digest that was merged.
          may_announce: Returns whether this node may send its own row to peers, on request or
            otherwise. A node that was never ready may not: peers would send callers to it.
        """
        self._membership = membership
        self._datagrams = datagrams
        self._on_merged = on_merged
        self._may_announce = may_announce
        self._sent = 0
        self._first_sent_s: dict[str, float] = {}
        self._names: dict[int, str] = {}
        self._own_key = age_vector.key_of(membership.me.incarnation)
        self._lookup = MemberLookup(membership, datagrams, may_announce)
        datagrams.handle(Kind.DIGEST, self._receive_plain)
        datagrams.handle(Kind.AGED_DIGEST, self._receive_with_ages)

    def send(self, peer_addresses: list[str]) -> None:
        """Send this node's digest to peers, each in the format that the peer's build reads."""
        by_build: dict[Build, list[str]] = {}
        for address, build in self._builds(peer_addresses):
            by_build.setdefault(build, []).append(address)
        if Build.LOOKUPS in by_build:
            self._send_compact(by_build[Build.LOOKUPS])
        if Build.AGES in by_build:
            self._send_with_full_rows(by_build[Build.AGES])
        if Build.ROWS in by_build:
            members = self._membership.digest(OTHERS_IN_PLAIN_DIGEST + 1)
            rows = [codec.member_row(member) for member in members]
            self._datagrams.send(Kind.DIGEST, rows, by_build[Build.ROWS])

    def push(self) -> None:
        """Send this node's own row to up to MAX_PUSHED_PEERS peers, for urgent changes."""
        peer_addresses = self._datagrams.sample_peers(MAX_PUSHED_PEERS)
        self._datagrams.send(Kind.DIGEST, self._rows([self._membership.me]), peer_addresses)

    def _builds(self, peer_addresses: list[str]) -> Iterator[tuple[str, Build]]:
        """Yield peer addresses with their builds; an unknown peer counts as the oldest build."""
        heartbeats = {peer.peer_address: peer.heartbeat for peer in self._membership.reachable()}
        for address in peer_addresses:
            yield address, build_of(heartbeats.get(address, 0))

    def _send_compact(self, peer_addresses: list[str]) -> None:
        """Send a digest of state rows and ages to peers that can look up unknown members."""
        me, *others = self._membership.digest(OTHERS_IN_AGED_DIGEST + 1)
        rows = self._rows([me]) + [codec.state_row(member) for member in others]
        self._send_with_ages([me, *others], rows, peer_addresses)

    def _send_with_full_rows(self, peer_addresses: list[str]) -> None:
        """Send a digest with ages, periodically a full one, to peers without member lookup."""
        self._sent += 1
        if self._sent % DIGESTS_PER_FULL_DIGEST == 1:
            members = self._membership.digest()
            rows = [codec.member_row(member) for member in members]
        else:
            members = self._membership.digest(OTHERS_IN_AGED_DIGEST + 1)
            rows = self._rows(members)
        self._send_with_ages(members, rows, peer_addresses)

    def _send_with_ages(
        self, members: list[Member], rows: list[list], peer_addresses: list[str]
    ) -> None:
        """Send the given rows with the heartbeat ages of most members."""
        text = age_vector.encode(self._ages(members))
        self._datagrams.send(Kind.AGED_DIGEST, [text, *rows], peer_addresses)

    def _ages(self, members: list[Member]) -> list[HeartbeatAge]:
        """Return the ages for a digest: those of the members in its rows, then the lowest ages."""
        in_rows = [HeartbeatAge(member.incarnation, member.heard_ago_s) for member in members[1:]]
        named = {age.incarnation for age in in_rows}
        limit = max(MIN_AGES, round(len(self._membership.reachable()) * AGES_SHARE))
        youngest = self._membership.heartbeat_ages(limit)
        return in_rows + [age for age in youngest if age.incarnation not in named]

    def _rows(self, members: list[Member]) -> list[list]:
        """Return the rows of members, full rows for those that peers may not know yet."""
        return [
            codec.member_row(member) if self._is_new(member) else codec.state_row(member)
            for member in members
        ]

    def _receive_plain(self, rows: list, sender: str) -> None:
        """Merge a digest that has rows only."""
        self._merge(rows, sender, _plain_row_age_s)

    def _receive_with_ages(self, rows: list, sender: str) -> None:
        """Merge a digest with ages."""
        text, *member_rows = rows
        ages = age_vector.decode(text)
        self._merge(
            member_rows,
            sender,
            lambda row: ages.get(age_vector.key_of(codec.incarnation_of(row)), NEVER_S),
        )
        self._request_unknown(ages, member_rows[0], sender)
        named = [
            HeartbeatAge(self._names[key], ago_s)
            for key, ago_s in ages.items()
            if key in self._names
        ]
        self._membership.merge_ages(named, reported_by=member_rows[0][0])

    def _request_unknown(self, keys: Iterable[int], sender_row: list, sender: str) -> None:
        """Request unknown members from the sender of a digest: those its ages name, and itself."""
        if build_of(codec.heartbeat_of(sender_row)) is not Build.LOOKUPS:
            return
        named = [age_vector.key_of(codec.incarnation_of(sender_row)), *keys]
        unknown = [key for key in named if key not in self._names and key != self._own_key]
        if unknown:
            self._lookup.request(unknown, sender)

    def _merge(self, rows: list, sender: str, heard_ago_s: Callable[[list], float]) -> None:
        """Merge the members of rows, the sender's first, and send a digest to a new sender.

        Args:
          heard_ago_s: Returns the age of the heartbeat in another member's row.
        """
        find = self._membership.find
        sender_row, *others = rows
        is_new = find(codec.incarnation_of(sender_row)) is None
        decoded = [codec.read_member(sender_row, find)]
        decoded += [codec.read_member(row, find, heard_ago_s(row)) for row in others]
        members = [member for member in decoded if member is not None]
        for member in members:
            self._names[age_vector.key_of(member.incarnation)] = member.incarnation
        self._membership.merge(members, reported_by=sender_row[0])
        self._on_merged()
        has_lookups = build_of(codec.heartbeat_of(sender_row)) is Build.LOOKUPS
        if is_new and has_lookups and self._may_announce():
            # Otherwise a starting node could wait for seconds until it is a gossip target.
            self._send_compact([sender])

    def _is_new(self, member: Member) -> bool:
        """Return whether this node first sent a member less than NEW_MEMBER_S ago."""
        now_s = clock.now_s()
        first_s = self._first_sent_s.setdefault(member.incarnation, now_s)
        return now_s - first_s < NEW_MEMBER_S

    def forget_gone(self) -> None:
        """Drop the state kept for members that the membership has removed."""
        self._first_sent_s = {
            incarnation: first_s
            for incarnation, first_s in self._first_sent_s.items()
            if self._membership.find(incarnation) is not None
        }
        self._lookup.forget_expired()
        self._names = {
            key: incarnation
            for key, incarnation in self._names.items()
            if self._membership.find(incarnation) is not None
        }


def _plain_row_age_s(row: list) -> float:
    """Return the age in seconds of the heartbeat in a third node's row of a plain digest.

    NEVER_S for a node that sends ages, since only ages count for it. For an older build the age is
    unknown, and the time of arrival is the best estimate.
    """
    return 0.0 if build_of(codec.heartbeat_of(row)) is Build.ROWS else NEVER_S
