"""Answer integrity: checks that the chunks of an answer follow each other and that it is complete.

Decides whether a chunk is passed on.
Inputs: its request id, its offset and its length in tokens.
Result: the chunk, nothing for a repeated chunk, or ANSWER_INCOMPLETE.
An answer that is joined from several attempts must have no gap, no overlap and no chunk of another
request.
"""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from springbridge.codes import Code
from springbridge.problems import Problem


@dataclass(frozen=True)
class Chunk:
    """A part of an answer.

    Attributes:
      request_id: The request that the chunk answers.
      offset: Number of tokens of the answer before this chunk.
      tokens: Number of tokens in this chunk.
      text: Text of the tokens.
      last: Whether the answer ends with this chunk.
    """

    request_id: str
    offset: int
    tokens: int
    text: str
    last: bool


@dataclass
class StreamCheck:
    """Checks the chunks of one answer; accepts only the next one."""

    request_id: str
    offset: int = 0
    ended: bool = False

    def accept(self, chunk: Chunk) -> Result[Chunk | None, Problem]:
        """Check a chunk against the chunks before it.

        Returns:
          The chunk; None for a repeated chunk, which is dropped; or a Problem for a chunk of
          another request, a gap, an overlap or a chunk after the end.
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
        """Return a Problem unless the last chunk was accepted."""
        if self.ended:
            return Success(None)
        return self._broken(f"the stream broke off at offset {self.offset}")

    def _broken(self, detail: str) -> Failure[Problem]:
        return Failure(Problem(Code.ANSWER_INCOMPLETE, detail))
