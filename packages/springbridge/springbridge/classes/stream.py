"""Whole answers: is this chunk the next one of its answer, and is the answer complete?

Decided: whether a chunk is passed on. Inputs: its request id, its offset and its length in tokens.
Outcome: the chunk, nothing for a repeated piece, or ANSWER_INCOMPLETE. Why: an answer that is
joined from several attempts must have no gap, no overlap and no piece of another request. There
are no constants.
"""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from springbridge.codes import Code
from springbridge.problems import Problem


@dataclass(frozen=True)
class Chunk:
    """A piece of an answer.

    Attributes:
      request_id: The request that the piece answers.
      offset: Number of tokens before this piece.
      tokens: Number of tokens in this piece.
      text: The piece itself.
      last: Whether the answer ends with this piece.
    """

    request_id: str
    offset: int
    tokens: int
    text: str
    last: bool


@dataclass
class StreamCheck:
    """Follows one answer and accepts only its next chunk."""

    request_id: str
    offset: int = 0
    ended: bool = False

    def accept(self, chunk: Chunk) -> Result[Chunk | None, Problem]:
        """Check a chunk against what came before it.

        Returns:
          The chunk; None for a piece that was there already and is left out; or a problem for a
          foreign piece, a gap, an overlap or a piece after the end.
        """
        if chunk.request_id != self.request_id:
            return self._broken("a piece of another request arrived")
        if chunk.offset + chunk.tokens <= self.offset and chunk.tokens > 0:
            return Success(None)
        if self.ended:
            return self._broken("a piece arrived after the end")
        if chunk.offset != self.offset:
            return self._broken(f"expected offset {self.offset}, got {chunk.offset}")
        self.offset += chunk.tokens
        self.ended = chunk.last
        return Success(chunk)

    def finish(self) -> Result[None, Problem]:
        """Return a problem unless the end marker was seen."""
        if self.ended:
            return Success(None)
        return self._broken(f"the stream broke off at offset {self.offset}")

    def _broken(self, detail: str) -> Failure[Problem]:
        return Failure(Problem(Code.ANSWER_INCOMPLETE, detail))
