"""Publishes load notices about this node's requests at endpoints, and applies those of peers.

Notices are batched for a few milliseconds, so that a burst of requests makes few datagrams. In a
fleet too large to notify every node, only coordinators get them: a node that knew half of an
endpoint's load would select worse than one that knows only its own requests.
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

from springbridge_node import logs
from springbridge_node.gateway.peers import codec
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

# Seconds for which notices are batched into one datagram. A longer delay saves datagrams but
# increases the staleness of the load that peers know.
BATCH_DELAY_S = 0.01
# Maximum number of notices in one datagram. At about 100 bytes each a datagram stays under 1 kB,
# and a lost datagram loses no more than these.
NOTICES_PER_DATAGRAM = 8


class SharedAttempt:
    """An attempt at an endpoint whose phases are published to peers."""

    def __init__(
        self,
        sharing: "LoadSharing",
        attempt_id: str,
        endpoint_id: str,
        began: Callable[[], None],
    ) -> None:
        """Create an attempt; `began` is called once, when the endpoint has begun to answer."""
        self._began = began
        self._sharing = sharing
        self._attempt_id = attempt_id
        self._endpoint_id = endpoint_id
        self._was_read = False

    def prompt_read(self) -> None:
        """Publish that the endpoint has processed the prompt: the first output has arrived."""
        if not self._was_read:
            self._was_read = True
            notice = LoadNotice(LoadPhase.READ, self._attempt_id, self._endpoint_id)
            self._sharing.publish(notice)
            self._began()


class LoadSharing:
    """Records the load of endpoints in this node's registry and publishes it to peers."""

    def __init__(
        self,
        registry: EndpointRegistry,
        incarnation: str,
        receivers: Callable[[str], list[str]],
        on_notice: Callable[[LoadNotice], None],
    ) -> None:
        """Start without peers; notices go to the registry only until connect() is called.

        Args:
          incarnation: This node's incarnation, part of the ids of its attempts.
          receivers: Returns the peer addresses that get the notices for a service.
          on_notice: Called with each notice from a peer, before the registry takes it.
        """
        self._registry = registry
        self._incarnation = incarnation
        self._receivers = receivers
        self._on_notice = on_notice
        self._count = 0
        self._unsent: dict[str, list[LoadNotice]] = {}
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending notices and receiving those of peers."""
        self._datagrams = datagrams
        datagrams.handle(Kind.LOAD, self._receive)

    def new_attempt_id(self) -> str:
        """Return an attempt id that is unique in the fleet."""
        self._count += 1
        return make_attempt_id(self._incarnation, self._count)

    @contextlib.contextmanager
    def attempt(
        self, choice: Choice, demand: Demand, began: Callable[[], None] = lambda: None
    ) -> Iterator[SharedAttempt]:
        """Count a request as load of an endpoint for as long as the block runs.

        Args:
          began: Called once, when the endpoint has begun to answer.
        """
        endpoint_id = choice.state.entry.endpoint_id
        attempt_id = choice.attempt_id or self.new_attempt_id()
        self.publish(start_notice(choice, demand, attempt_id))
        try:
            yield SharedAttempt(self, attempt_id, endpoint_id, began)
        finally:
            self.publish(LoadNotice(LoadPhase.ENDED, attempt_id, endpoint_id))

    def unreached(self, entry: EndpointEntry) -> None:
        """Publish that this instance and a peer failed to connect to an endpoint."""
        self.publish(endpoint_notice(LoadPhase.UNREACHED, entry))

    def gone(self, entry: EndpointEntry) -> None:
        """Publish that an endpoint is gone: another one now has its address."""
        self.publish(endpoint_notice(LoadPhase.GONE, entry))

    def publish(self, notice: LoadNotice) -> None:
        """Apply a notice to this node's registry and send it to peers within BATCH_DELAY_S."""
        self._registry.apply_notice(notice)
        state = self._registry.find(notice.endpoint_id)
        if self._datagrams is None or state is None:
            return
        if not self._unsent:
            asyncio.get_running_loop().call_later(BATCH_DELAY_S, self._flush)
        self._unsent.setdefault(state.entry.service, []).append(notice)

    def _flush(self) -> None:
        """Send the batched notices."""
        unsent, self._unsent = self._unsent, {}
        for service, notices in unsent.items():
            receivers = self._receivers(service)
            rows = [codec.notice_row(notice) for notice in notices]
            for start in range(0, len(rows), NOTICES_PER_DATAGRAM):
                end = start + NOTICES_PER_DATAGRAM
                self._datagrams.send(Kind.LOAD, rows[start:end], receivers)

    def _receive(self, rows: list, sender: str) -> None:
        """Apply a peer's notices."""
        for row in rows:
            notice = codec.read_notice(row)
            self._on_notice(notice)
            self._log_unreached(notice, sender)
            self._registry.apply_notice(notice, sender)

    def _log_unreached(self, notice: LoadNotice, sender: str) -> None:
        """Log that a peer found an endpoint unreachable, unless it already counts as that here."""
        if notice.phase is not LoadPhase.UNREACHED:
            return
        state = self._registry.find(notice.endpoint_id)
        if state is not None and state.reachable:
            logs.event("engine.reported_unreachable", engine=notice.endpoint_id, reported_by=sender)
