"""Requests members that digests name by hash only, and answers such requests.

A digest has the ages of many members and the rows of a few. Without lookups a node that starts in a
large fleet learns of the others a few rows at a time. The assignment of roles and each node's share
of the retry budget depend on the membership, so nodes with different views disagree on them.
"""

from collections.abc import Callable, Iterable

from springbridge.member import HeartbeatAge
from springbridge.membership import Membership

from springbridge_node import clock
from springbridge_node.gateway.peers import age_vector, codec
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

# Maximum number of members in one request. The reply, of some 130 bytes for each, stays within a
# few kB, which matters at a peer that many nodes ask at the same time.
MAX_REQUESTED_MEMBERS = 48
# Maximum number of members in one datagram of a reply, about 3 kB. As many as in a full digest.
MEMBERS_PER_DATAGRAM = 24
# Seconds after which a member that is still unknown is requested again, since the request or its
# reply may be lost. Two heartbeat intervals.
REQUEST_RETRY_S = 0.5


class MemberLookup:
    """Requests unknown members from peers, and answers such requests."""

    def __init__(
        self, membership: Membership, datagrams: PeerDatagrams, may_announce: Callable[[], bool]
    ) -> None:
        """Register the handler for requests.

        Args:
          may_announce: Returns whether this node may send its own row; each reply begins with it.
        """
        self._membership = membership
        self._datagrams = datagrams
        self._may_announce = may_announce
        self._requested_s: dict[int, float] = {}
        datagrams.handle(Kind.MEMBERS_REQUEST, self._handle_request)

    def request(self, keys: Iterable[int], peer_address: str) -> None:
        """Request members from the peer that named them, unless requested within REQUEST_RETRY_S.

        Args:
          keys: Hashes of the members' incarnations; see age_vector.key_of().
        """
        now_s = clock.now_s()
        due = [
            key
            for key in keys
            if now_s >= self._requested_s.get(key, float("-inf")) + REQUEST_RETRY_S
        ]
        if not due:
            return
        requested = due[:MAX_REQUESTED_MEMBERS]
        self._requested_s.update(dict.fromkeys(requested, now_s))
        self._datagrams.send(Kind.MEMBERS_REQUEST, requested, [peer_address])

    def forget_expired(self) -> None:
        """Drop the times of requests that may be repeated by now."""
        limit_s = clock.now_s() - REQUEST_RETRY_S
        self._requested_s = {
            key: requested_s
            for key, requested_s in self._requested_s.items()
            if requested_s > limit_s
        }

    def _handle_request(self, keys: list, sender: str) -> None:
        """Send a peer the members that it requested, as digests that it merges like any other.

        Each digest begins with this node's own row, so one is sent even if only that was requested.
        """
        if not self._may_announce():
            return
        requested = set(keys[:MAX_REQUESTED_MEMBERS])
        running = [self._membership.me, *self._membership.reachable()]
        known = [
            each.incarnation for each in running if age_vector.key_of(each.incarnation) in requested
        ]
        for start in range(0, len(known), MEMBERS_PER_DATAGRAM):
            self._send_members(known[start : start + MEMBERS_PER_DATAGRAM], sender)

    def _send_members(self, incarnations: list[str], receiver: str) -> None:
        """Send a digest with full rows and the ages of some members."""
        members = self._membership.known_members(incarnations)
        ages = [HeartbeatAge(member.incarnation, member.heard_ago_s) for member in members]
        rows = [codec.member_row(member) for member in (self._membership.me, *members)]
        self._datagrams.send(Kind.AGED_DIGEST, [age_vector.encode(ages), *rows], [receiver])
