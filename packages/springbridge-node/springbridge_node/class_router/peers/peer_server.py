"""Server for peers over gRPC: receives their messages and streams answers for them to relay."""

import hmac
from collections.abc import Callable

from grpclib import GRPCError, Status
from grpclib.server import Stream
from springbridge.codes import Code

from springbridge_node.class_router.peers.messages import Message
from springbridge_node.class_router.peers.peer_codec import decode
from springbridge_node.class_router.peers.peer_links import TOKEN_KEY
from springbridge_node.class_router.peers.proto import peer_pb2
from springbridge_node.class_router.peers.proto.peer_grpc import PeerBase
from springbridge_node.class_router.requests.growing_answers import KeptAnswers


class PeerService(PeerBase):
    """Serves the Peer interface of proto/peer.proto."""

    def __init__(
        self,
        incarnation: str,
        token: str,
        answers: KeptAnswers,
        receive: Callable[[Message], None],
    ):
        """Store the dependencies.

        Args:
          token: The secret that all nodes share.
          receive: Called with each message.
        """
        self._incarnation = incarnation
        self._token = token
        self._answers = answers
        self._receive = receive

    async def Talk(self, stream: Stream) -> None:  # noqa: N802 - the name is the interface's
        """Receive a peer's messages until it ends the stream."""
        self._authenticate(stream)
        async for envelope in stream:
            for message in decode(envelope):
                self._receive(message)
        await stream.send_message(peer_pb2.Ended())

    async def Attach(self, stream: Stream) -> None:  # noqa: N802 - the name is the interface's
        """Send the answer of a request whose home this node is, from an offset on."""
        self._authenticate(stream)
        request = await stream.recv_message()
        answer = self._answers.find(request.request_id)
        if answer is None or request.home != self._incarnation:
            code = Code.ANSWER_NOT_KEPT
            await stream.send_message(peer_pb2.AttachChunk(last=True, code=int(code)))
            return
        async for chunk in answer.follow(request.offset):
            await stream.send_message(
                peer_pb2.AttachChunk(offset=chunk.offset, tokens=chunk.tokens, text=chunk.text)
            )
        problem = answer.problem
        code = Code.OK if problem is None else problem.code
        detail = "" if problem is None else problem.detail
        last = peer_pb2.AttachChunk(offset=answer.offset, last=True, code=int(code), detail=detail)
        await stream.send_message(last)

    def _authenticate(self, stream: Stream) -> None:
        """Reject the call unless its metadata has the peers' token.

        Raises:
          GRPCError: UNAUTHENTICATED.
        """
        given = stream.metadata.get(TOKEN_KEY, "")
        if not hmac.compare_digest(str(given), self._token):
            raise GRPCError(Status.UNAUTHENTICATED, "unknown peer token")
