"""Gossips membership digests: to a few peers at each interval, to all peers at a change."""

from collections.abc import Callable

from springbridge.membership import Membership

from springbridge_node.class_router.config.config_sync import ConfigSync
from springbridge_node.class_router.peers.messages import Digest
from springbridge_node.class_router.peers.peer_links import PeerLinks

# Sent as the age in seconds of the confirmation of a version that was never confirmed.
NEVER_CONFIRMED_AGO_S = 1e9


class DigestSender:
    """Sends digests, and increments this node's heartbeat before each."""

    def __init__(
        self,
        membership: Membership,
        config: ConfigSync,
        links: PeerLinks,
        clock: Callable[[], float],
    ):
        """Store the dependencies."""
        self._membership = membership
        self._config = config
        self._links = links
        self._clock = clock

    def send_to(self, address: str) -> None:
        """Send a digest to a peer whose stream has just opened."""
        self._count_heartbeat()
        self._links.send(address, self._digest())

    def gossip(self) -> None:
        """Send a digest to a few peers."""
        self._count_heartbeat()
        digest = self._digest()
        for address in self._membership.gossip_targets():
            self._links.send(address, digest)

    def announce(self) -> None:
        """Send a digest to all peers at once."""
        self._count_heartbeat()
        self._send_to_all(self._digest())

    def announce_end(self) -> None:
        """Tell all peers that this node has ended, in a digest of this node alone."""
        self._membership.end()
        self._send_to_all(Digest((self._membership.me,)))

    def _count_heartbeat(self) -> None:
        """Increment the heartbeat and update the table version and its confirmation in it."""
        confirmation = self._config.confirmation
        ago_s = min(NEVER_CONFIRMED_AGO_S, confirmation.ago_s(self._clock()))
        self._membership.beat(self._config.snapshot.version, ago_s, confirmation.table_out)

    def _digest(self) -> Digest:
        return Digest(tuple(self._membership.digest()))

    def _send_to_all(self, digest: Digest) -> None:
        for member in self._membership.reachable():
            self._links.send(member.peer_address, digest)
