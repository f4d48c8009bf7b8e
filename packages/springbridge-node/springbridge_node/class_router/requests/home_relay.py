"""Relays the answer of a request from its home: the caller's retry reached another node."""

import asyncio

from grpclib.exceptions import GRPCError, StreamTerminatedError
from returns.result import Failure, Success
from springbridge.classes.stream import Chunk, StreamCheck
from springbridge.codes import Code
from springbridge.problems import Problem

from springbridge_node.class_router.peers.peer_links import open_channel
from springbridge_node.class_router.peers.proto import peer_pb2
from springbridge_node.class_router.peers.proto.peer_grpc import PeerStub
from springbridge_node.class_router.requests.growing_answers import Answer

# Longest silence of a home whose answer is relayed. A call to a plain service may be silent for
# longer; the retry that is relayed then ends with OUTCOME_UNKNOWN and may ask again.
RELAY_STALL_S = 10.0

# How a home that is gone, cut off or silent shows while its answer is followed.
HOME_LOST = (OSError, TimeoutError, GRPCError, StreamTerminatedError, ConnectionError)


async def follow_at_home(
    address: str, home: str, answer: Answer, metadata: dict[str, str]
) -> Problem | None:
    """Follow an answer at its home, from the offset reached here to its end.

    Args:
      address: The home's address for peers.
      home: The home's incarnation; another one at the same address has no answer.
      metadata: Token and incarnation for calls to peers.

    Returns:
      The problem with which the answer ended, or None if it is whole.

    Raises:
      One of HOME_LOST: the home broke off, or was silent for RELAY_STALL_S.
    """
    check = StreamCheck(answer.request_id, answer.offset)
    request = peer_pb2.AttachRequest(home=home, request_id=answer.request_id, offset=answer.offset)
    async with open_channel(address) as channel:
        stub = PeerStub(channel)
        async with stub.Attach.open(metadata=metadata) as stream:
            await stream.send_message(request, end=True)
            while True:
                async with asyncio.timeout(RELAY_STALL_S):
                    part = await stream.recv_message()
                if part is None:
                    raise ConnectionError("the home broke off")
                if part.last:
                    return _end(part)
                piece = Chunk(answer.request_id, part.offset, part.tokens, part.text, False)
                match check.accept(piece):
                    case Success(Chunk() as fresh):
                        answer.add(fresh)
                    case Failure(problem):
                        return problem


def _end(part: peer_pb2.AttachChunk) -> Problem | None:
    """Return how a relayed answer ended."""
    code = Code(part.code)
    return None if code is Code.OK else Problem(code, part.detail)
