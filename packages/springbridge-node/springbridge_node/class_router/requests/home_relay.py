"""Relays the answer of a request from its home, for a retry that reached another node."""

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

# Timeout for the next chunk from a home whose answer is relayed. A call to a plain service may take
# longer to answer; the relayed retry then ends with OUTCOME_UNKNOWN and may be repeated.
RELAY_STALL_S = 10.0

# Errors of a relay whose home is gone, unreachable or silent.
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
      The problem with which the answer ended, or None if it is complete.

    Raises:
      One of HOME_LOST: the home closed the stream, or sent nothing for RELAY_STALL_S.
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
                    raise ConnectionError("the home closed the stream before its last chunk")
                if part.last:
                    return _end(part)
                received = Chunk(answer.request_id, part.offset, part.tokens, part.text, False)
                match check.accept(received):
                    case Success(Chunk() as fresh):
                        answer.add(fresh)
                    case Failure(problem):
                        return problem


def _end(part: peer_pb2.AttachChunk) -> Problem | None:
    """Return the problem in the last chunk of a relayed answer, None for OK."""
    code = Code(part.code)
    return None if code is Code.OK else Problem(code, part.detail)
