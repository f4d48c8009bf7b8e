"""Whole answers: every chunk must be the next one of the one stream it claims to belong to."""

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
