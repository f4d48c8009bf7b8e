"""Sends this node's view of the members to peers: to a few now and then, to all at a change."""

from collections.abc import Callable

from springbridge.membership import Membership

from springbridge_node.class_router.config.config_sync import ConfigSync
from springbridge_node.class_router.peers.messages import Digest
from springbridge_node.class_router.peers.peer_links import PeerLinks

# Stands on the wire for a version that was never confirmed, in seconds.
NEVER_CONFIRMED_AGO_S = 1e9


class DigestSender:
    """Sends digests; each counts up this node's heartbeat first."""

    def __init__(
        self,
        membership: Membership,
        config: ConfigSync,
        links: PeerLinks,
        clock: Callable[[], float],
    ):
        """Keep the parts."""
        self._membership = membership
        self._config = config
        self._links = links
        self._clock = clock

    def introduce(self, address: str) -> None:
        """Send a digest to a peer whose stream has just opened."""
        self._beat()
        self._links.send(address, self._digest())

    def gossip(self) -> None:
        """Send a digest to a few peers."""
        self._beat()
        digest = self._digest()
        for address in self._membership.gossip_targets():
            self._links.send(address, digest)

    def announce(self) -> None:
        """Send a digest to all peers at once."""
        self._beat()
        self._send_to_all(self._digest())

    def say_goodbye(self) -> None:
        """Tell all peers that this node ends."""
        self._membership.end()
        self._send_to_all(Digest((self._membership.me,)))

    def _beat(self) -> None:
        """Count up the heartbeat with what this node knows of the table now."""
        confirmation = self._config.confirmation
        ago_s = min(NEVER_CONFIRMED_AGO_S, confirmation.ago_s(self._clock()))
        self._membership.beat(self._config.snapshot.version, ago_s, confirmation.table_out)

    def _digest(self) -> Digest:
        return Digest(tuple(self._membership.digest()))

    def _send_to_all(self, digest: Digest) -> None:
        for member in self._membership.reachable():
            self._links.send(member.peer_address, digest)
