"""Outgoing streams to peers: one task and one long-lived stream for each peer address.

Queued messages are sent together in one envelope. A stream that breaks is reopened after a pause.
Messages in transit are lost; the senders repeat what they still need.

Waits are bounded by asyncio.timeout: before Python 3.12 asyncio.wait_for can lose a cancellation
that comes just as the awaited call ends, and a link that misses it keeps the node from stopping.
"""

import asyncio
import random
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from grpclib.client import Channel, Stream

from springbridge_node.class_router.peers.messages import Message
from springbridge_node.class_router.peers.peer_codec import encode
from springbridge_node.class_router.peers.proto.peer_grpc import PeerStub
from springbridge_node.class_router.serve_settings import split

# Messages queued for a peer that accepts none; then the oldest are dropped. Bounds memory: 0.9 MB
# at the 90 bytes that a message takes on the wire (docs/CAPACITY.md).
QUEUE_LIMIT = 10_000
# Mean pause before a broken stream is reopened, with jitter of half to one and a half of it so that
# nodes do not reconnect in step. Below the 0.5 s between two digests.
RECONNECT_PAUSE_S = 0.2
# A stream on which nothing was sent for this long is closed. Bounds the open connections of a large
# fleet, where digests go to another random peer each time.
IDLE_TIMEOUT_S = 30.0
# Timeout for connecting to a peer, below the 2.5 s after which a silent member is suspected.
CONNECT_TIMEOUT_S = 1.0
TOKEN_KEY = "authorization"
NODE_KEY = "springbridge-node"


@dataclass(frozen=True)
class SentCounts:
    """Counts of the messages, and bytes of their envelopes, that were sent to peers."""

    messages: int
    bytes: int


class IdleLinkError(Exception):
    """Nothing was sent on a link for IDLE_TIMEOUT_S."""


class PeerLink:
    """The stream to one peer address."""

    def __init__(self, address: str, metadata: dict[str, str]):
        """Store address and metadata; the stream is opened by run().

        Args:
          metadata: Token and incarnation that are sent with each call.
        """
        self.address = address
        self.sent_messages = 0
        self.sent_bytes = 0
        self._metadata = metadata
        self._queue: deque[Message] = deque(maxlen=QUEUE_LIMIT)
        self._waiting = asyncio.Event()

    def send(self, message: Message) -> None:
        """Queue a message; beyond QUEUE_LIMIT the oldest are dropped."""
        self._queue.append(message)
        self._waiting.set()

    async def run(self, on_open: Callable[[], None], on_break: Callable[[], None]) -> None:
        """Keep the stream open until cancelled, or idle for IDLE_TIMEOUT_S."""
        while True:
            try:
                await self._run_stream(on_open)
            except IdleLinkError:
                return
            except TimeoutError:
                # No connection within CONNECT_TIMEOUT_S. The link ends and its queue is lost; the
                # next message opens a new link. on_break halves the time until the peer is
                # suspected, as for a refused connection.
                on_break()
                return
            except Exception:
                # Streams to a peer that is gone fail in many ways, several times a second. Not
                # logged here: on_break makes the membership suspect it, which the status shows.
                on_break()
                self._queue.clear()
            await asyncio.sleep(RECONNECT_PAUSE_S * random.uniform(0.5, 1.5))

    async def _run_stream(self, on_open: Callable[[], None]) -> None:
        """Open one stream and send queued messages on it until it breaks."""
        async with open_channel(self.address) as channel:
            stub = PeerStub(channel)
            async with stub.Talk.open(metadata=self._metadata) as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                on_open()
                ended = asyncio.create_task(stream.recv_message())
                ended.add_done_callback(lambda _: self._waiting.set())
                try:
                    await self._send_all(stream, ended)
                finally:
                    ended.cancel()

    async def _send_all(self, stream: Stream, ended: asyncio.Task) -> None:
        """Send what is queued until the peer ends the stream or it breaks."""
        while not ended.done():
            try:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    await self._waiting.wait()
            except TimeoutError as exc:
                raise IdleLinkError from exc
            self._waiting.clear()
            messages = list(self._queue)
            self._queue.clear()
            if messages:
                envelope = encode(messages)
                self.sent_messages += len(messages)
                self.sent_bytes += envelope.ByteSize()
                await stream.send_message(envelope)
        ended.result()
        raise ConnectionError("the peer ended the stream")


@asynccontextmanager
async def open_channel(address: str) -> AsyncIterator[Channel]:
    """Open a channel to a peer and close it at the end."""
    host, port = split(address)
    channel = Channel(host, port)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await channel.__connect__()
        yield channel
    finally:
        channel.close()


class PeerLinks:
    """All outgoing streams, opened when first needed."""

    def __init__(
        self,
        metadata: dict[str, str],
        on_open: Callable[[str], None],
        on_break: Callable[[str], None],
    ):
        """Start without links; on_open and on_break are called with the peer's address."""
        self.metadata = metadata
        self._on_open = on_open
        self._on_break = on_break
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def send(self, address: str, message: Message) -> None:
        """Queue a message for a peer address, on a new link if there is none."""
        link = self._links.get(address)
        if link is None:
            link = self._open(address)
        link.send(message)

    def sent(self) -> SentCounts:
        """Return the counts of what was sent on the links that are open now."""
        links = self._links.values()
        return SentCounts(
            sum(link.sent_messages for link in links), sum(link.sent_bytes for link in links)
        )

    async def close(self) -> None:
        """End all streams."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        # They were just cancelled, so they raise CancelledError.
        await asyncio.gather(*tasks, return_exceptions=True)

    def _open(self, address: str) -> PeerLink:
        link = PeerLink(address, self.metadata)
        running = link.run(lambda: self._on_open(address), lambda: self._on_break(address))
        task = asyncio.create_task(running)
        task.add_done_callback(lambda _: self._drop(address))
        self._links[address] = link
        self._tasks[address] = task
        return link

    def _drop(self, address: str) -> None:
        self._links.pop(address, None)
        self._tasks.pop(address, None)
