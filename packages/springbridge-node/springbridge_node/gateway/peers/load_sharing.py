"""Sends peers a notice of each step of this node's requests at endpoints, and takes in theirs.

Notices are gathered for a few milliseconds, so that a burst of requests makes few datagrams. In a
fleet too large to notify everyone, only the coordinators get them: a node that knew half of an
endpoint's load would choose worse than one that knows its own requests and no more.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import (
    LoadNotice,
    LoadPhase,
    endpoint_notice,
    make_attempt_id,
)
from springbridge.routing.records import Demand, EndpointEntry
from springbridge.routing.selection import start_notice

from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

# Seconds for which notices are gathered into one datagram. A longer wait saves datagrams but makes
# the load that peers know staler.
GATHER_S = 0.01
# Notices in one datagram. At about 100 bytes each a datagram stays under 1 kB, and no more than
# these are lost with it.
NOTICES_PER_DATAGRAM = 8


class SharedLoad:
    """One attempt at an endpoint, from its start to its end."""

    def __init__(
        self,
        sharing: "LoadSharing",
        attempt_id: str,
        endpoint_id: str,
        began: Callable[[], None],
    ) -> None:
        """Keep the names, and what to call once the endpoint has begun to answer."""
        self._began = began
        self._sharing = sharing
        self._attempt_id = attempt_id
        self._endpoint_id = endpoint_id
        self._was_read = False

    def read(self) -> None:
        """Note that the endpoint has read the prompt: the first piece of the answer came."""
        if not self._was_read:
            self._was_read = True
            notice = LoadNotice(LoadPhase.READ, self._attempt_id, self._endpoint_id)
            self._sharing.publish(notice)
            self._began()


class LoadSharing:
    """Keeps this node's registry and its peers' informed of the load of endpoints."""

    def __init__(
        self,
        registry: EndpointRegistry,
        incarnation: str,
        receivers: Callable[[str], list[str]],
        received: Callable[[LoadNotice], None],
    ) -> None:
        """Keep the parts.

        Args:
          incarnation: Of this node; its attempts are named after it.
          receivers: Returns the peer addresses that get the notices for a service.
          received: Called with each notice of a peer.
        """
        self._registry = registry
        self._incarnation = incarnation
        self._receivers = receivers
        self._received = received
        self._count = 0
        self._unsent: dict[str, list[LoadNotice]] = {}
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to send notices and to take in those of peers."""
        self._datagrams = datagrams
        datagrams.handle(Kind.LOAD, self._take)

    def new_attempt_id(self) -> str:
        """Return a name for an attempt, new among those of all nodes."""
        self._count += 1
        return make_attempt_id(self._incarnation, self._count)

    @contextlib.contextmanager
    def attempt(
        self, choice: Choice, demand: Demand, began: Callable[[], None] = lambda: None
    ) -> Iterator[SharedLoad]:
        """Count a request at an endpoint for as long as the block runs.

        Args:
          began: Called once, when the endpoint has begun to answer.
        """
        endpoint_id = choice.state.entry.endpoint_id
        attempt_id = choice.attempt_id or self.new_attempt_id()
        self.publish(start_notice(choice, demand, attempt_id))
        try:
            yield SharedLoad(self, attempt_id, endpoint_id, began)
        finally:
            self.publish(LoadNotice(LoadPhase.ENDED, attempt_id, endpoint_id))

    def unreached(self, entry: EndpointEntry) -> None:
        """Note that no connection to an endpoint came up, so that no peer has to find out."""
        self.publish(endpoint_notice(LoadPhase.UNREACHED, entry))

    def gone(self, entry: EndpointEntry) -> None:
        """Note that another endpoint has the address of this one."""
        self.publish(endpoint_notice(LoadPhase.GONE, entry))

    def publish(self, notice: LoadNotice) -> None:
        """Take in a notice here and send it to peers within GATHER_S."""
        self._registry.apply_notice(notice)
        state = self._registry.find(notice.endpoint_id)
        if self._datagrams is None or state is None:
            return
        if not self._unsent:
            asyncio.get_running_loop().call_later(GATHER_S, self._flush)
        self._unsent.setdefault(state.entry.service, []).append(notice)

    def _flush(self) -> None:
        """Send what was gathered."""
        unsent, self._unsent = self._unsent, {}
        for service, notices in unsent.items():
            receivers = self._receivers(service)
            rows = [codec.notice_row(notice) for notice in notices]
            for start in range(0, len(rows), NOTICES_PER_DATAGRAM):
                end = start + NOTICES_PER_DATAGRAM
                self._datagrams.send(Kind.LOAD, rows[start:end], receivers)

    def _take(self, rows: list, sender: str) -> None:
        """Take in a peer's notices."""
        for row in rows:
            notice = codec.read_notice(row)
            self._received(notice)
            self._registry.apply_notice(notice)
