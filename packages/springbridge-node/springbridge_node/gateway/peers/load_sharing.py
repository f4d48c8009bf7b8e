"""Tells peers of this node's requests at endpoints, and takes in what they tell.

Notices are gathered for a few milliseconds, so that a burst of requests makes few datagrams. In a
fleet with too many nodes to tell them all, the coordinators are told: half a view of an endpoint's
load misleads.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.endpoint_registry import EndpointRegistry
from springbridge.routing.load_notices import LoadNotice, LoadPhase, attempt_name
from springbridge.routing.records import Demand
from springbridge.routing.selection import start_notice

from springbridge_node.gateway.peers import prompt_rows
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

GATHER_S = 0.01
MOST_IN_A_DATAGRAM = 8


class SharedLoad:
    """One attempt at an endpoint, from its start to its end."""

    def __init__(self, sharing: "LoadSharing", attempt_id: str, endpoint_id: str) -> None:
        """Keep the names."""
        self._sharing = sharing
        self._attempt_id = attempt_id
        self._endpoint_id = endpoint_id
        self._was_read = False

    def read(self) -> None:
        """Note that the endpoint has read the prompt: the first piece of the answer came."""
        if not self._was_read:
            self._was_read = True
            notice = LoadNotice(LoadPhase.READ, self._attempt_id, self._endpoint_id)
            self._sharing.tell(notice)


class LoadSharing:
    """This node's part in what all nodes know of the endpoints' load."""

    def __init__(
        self,
        registry: EndpointRegistry,
        incarnation: str,
        audience: Callable[[str], list[str]],
        heard: Callable[[LoadNotice], None],
    ) -> None:
        """Keep the parts.

        Args:
          incarnation: Of this node; attempts are named after it.
          audience: Returns the peer addresses to tell of requests for a service.
          heard: Called with each notice of a peer.
        """
        self._registry = registry
        self._incarnation = incarnation
        self._audience = audience
        self._heard = heard
        self._count = 0
        self._untold: dict[str, list[LoadNotice]] = {}
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to tell peers and to listen to them."""
        self._datagrams = datagrams
        datagrams.handle(Kind.LOAD, self._take)

    def new_attempt_id(self) -> str:
        """Return a name for an attempt, new among those of all nodes."""
        self._count += 1
        return attempt_name(self._incarnation, self._count)

    @contextlib.contextmanager
    def attempt(self, choice: Choice, demand: Demand) -> Iterator[SharedLoad]:
        """Count a request at an endpoint for as long as the block runs."""
        endpoint_id = choice.state.entry.endpoint_id
        attempt_id = choice.attempt_id or self.new_attempt_id()
        self.tell(start_notice(choice, demand, attempt_id))
        try:
            yield SharedLoad(self, attempt_id, endpoint_id)
        finally:
            self.tell(LoadNotice(LoadPhase.ENDED, attempt_id, endpoint_id))

    def unreached(self, endpoint_id: str) -> None:
        """Note that no connection to an endpoint came up, so that no peer waits for it."""
        self.tell(LoadNotice(LoadPhase.UNREACHED, "", endpoint_id))

    def gone(self, endpoint_id: str) -> None:
        """Note that another endpoint has the address of this one."""
        self.tell(LoadNotice(LoadPhase.GONE, "", endpoint_id))

    def tell(self, notice: LoadNotice) -> None:
        """Take in a notice here and tell the peers soon."""
        self._registry.take_notice(notice)
        state = self._registry.find(notice.endpoint_id)
        if self._datagrams is None or state is None:
            return
        if not self._untold:
            asyncio.get_running_loop().call_later(GATHER_S, self._flush)
        self._untold.setdefault(state.entry.service, []).append(notice)

    def _flush(self) -> None:
        """Send what was gathered."""
        untold, self._untold = self._untold, {}
        for service, notices in untold.items():
            peers = self._audience(service)
            for start in range(0, len(notices), MOST_IN_A_DATAGRAM):
                rows = [_row(notice) for notice in notices[start : start + MOST_IN_A_DATAGRAM]]
                self._datagrams.send(Kind.LOAD, rows, peers)

    def _take(self, rows: list, sender: str) -> None:
        """Take in a peer's notices."""
        for row in rows:
            notice = _notice(row)
            self._heard(notice)
            self._registry.take_notice(notice)


def _row(notice: LoadNotice) -> list:
    """Return a notice as it travels."""
    row = [int(notice.phase), notice.attempt_id, notice.endpoint_id]
    if notice.phase is LoadPhase.STARTED:
        parts = prompt_rows.to_rows(notice.prompt_parts)
        row += [notice.prompt_tokens, parts, notice.fetched_tokens]
    return row


def _notice(row: list) -> LoadNotice:
    """Return a notice from what travelled."""
    phase, attempt_id, endpoint_id, *started = row
    if not started:
        return LoadNotice(LoadPhase(phase), attempt_id, endpoint_id)
    prompt_tokens, parts, fetched = started
    prompt_parts = prompt_rows.from_rows(parts)
    return LoadNotice(
        LoadPhase(phase), attempt_id, endpoint_id, prompt_tokens, prompt_parts, fetched
    )
