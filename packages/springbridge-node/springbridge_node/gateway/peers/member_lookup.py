"""Asks peers for members that their digests name by hash only, and answers such requests.

A digest has the ages of many members and the rows of a few. Without lookups a node that starts in a
large fleet learns of the others a few rows at a time. Who has which role and each node's share of
the retry budget follow from the members, so that nodes which know different ones disagree on them.
"""

from collections.abc import Callable, Iterable

from springbridge.member import HeartbeatAge
from springbridge.membership import Membership

from springbridge_node import clock
from springbridge_node.gateway.peers import age_vector, codec
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

# Members in one request. The answer, of some 130 bytes for each, stays within a few kB at a peer
# that many nodes ask at once.
ASKED_AT_ONCE = 48
# Members in one datagram of an answer, about 3 kB. As many as in a whole digest.
TOLD_IN_DATAGRAM = 24
# Seconds after which a member that was asked for and not told of is asked for again: the request or
# its answer may be lost. Two beats.
ASK_AGAIN_S = 0.5


class MemberLookup:
    """Asks for members, and tells of them."""

    def __init__(
        self, membership: Membership, datagrams: PeerDatagrams, may_tell: Callable[[], bool]
    ) -> None:
        """Start to answer requests.

        Args:
          may_tell: Returns whether this node may tell of itself; each answer begins with its row.
        """
        self._membership = membership
        self._datagrams = datagrams
        self._may_tell = may_tell
        self._asked_s: dict[int, float] = {}
        datagrams.handle(Kind.MEMBERS_REQUEST, self._answer)

    def ask(self, keys: Iterable[int], teller_address: str) -> None:
        """Ask the peer that named some members for their rows, unless it was just done.

        Args:
          keys: Hashes of their incarnations; see age_vector.key_of().
        """
        now_s = clock.now_s()
        due = [key for key in keys if now_s >= self._asked_s.get(key, float("-inf")) + ASK_AGAIN_S]
        if not due:
            return
        asked = due[:ASKED_AT_ONCE]
        self._asked_s.update(dict.fromkeys(asked, now_s))
        self._datagrams.send(Kind.MEMBERS_REQUEST, asked, [teller_address])

    def forget_asked(self) -> None:
        """Drop what is kept of requests whose members may be asked for again."""
        limit_s = clock.now_s() - ASK_AGAIN_S
        self._asked_s = {
            key: asked_s for key, asked_s in self._asked_s.items() if asked_s > limit_s
        }

    def _answer(self, keys: list, sender: str) -> None:
        """Tell a peer of the members that it asked for, as digests that it merges like others.

        Each has this node's own row first, so that one goes out if only that is asked for.
        """
        if not self._may_tell():
            return
        asked = set(keys[:ASKED_AT_ONCE])
        running = [self._membership.me, *self._membership.reachable()]
        known = [
            each.incarnation for each in running if age_vector.key_of(each.incarnation) in asked
        ]
        for start in range(0, len(known), TOLD_IN_DATAGRAM):
            self._tell(known[start : start + TOLD_IN_DATAGRAM], sender)

    def _tell(self, incarnations: list[str], receiver: str) -> None:
        """Send a digest of some members, whole, with their ages."""
        members = self._membership.known_members(incarnations)
        ages = [HeartbeatAge(member.incarnation, member.heard_ago_s) for member in members]
        rows = [codec.member_row(member) for member in (self._membership.me, *members)]
        self._datagrams.send(Kind.AGED_DIGEST, [age_vector.encode(ages), *rows], [receiver])
