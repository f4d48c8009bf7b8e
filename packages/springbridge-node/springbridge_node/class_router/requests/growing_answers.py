"""Buffers of answers in progress: one writer, any number of readers, each from its own offset.

Owns the answers that are kept for retries. They are held in memory only and lost with the process.
"""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from springbridge.classes.stream import Chunk
from springbridge.problems import Problem

# How long an answer is kept for a retry of its caller, counted from its start. Later retries get
# ANSWER_NOT_KEPT, as the binding's record lives for 600 s.
ANSWER_RETENTION_S = 120.0
# Characters of all kept answers; beyond this the oldest ended ones are dropped early. Bounds
# memory: 4 MB of English text.
MAX_KEPT_CHARS = 4_000_000


@dataclass
class Answer:
    """The chunks of one answer so far, and how it ended.

    Attributes:
      offset: Number of tokens so far.
      problem: Why the answer is incomplete, once it has ended; None if it is complete.
    """

    request_id: str
    chunks: list[Chunk] = field(default_factory=list)
    offset: int = 0
    ended: bool = False
    problem: Problem | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, chunk: Chunk) -> None:
        """Append the next chunk."""
        self.chunks.append(chunk)
        self.offset += chunk.tokens
        self._wake()

    def end(self, problem: Problem | None) -> None:
        """End the answer, incomplete with a problem or complete with None."""
        if not self.ended:
            self.ended = True
            self.problem = problem
            self._wake()

    def text(self) -> str:
        """Return the text so far."""
        return "".join(chunk.text for chunk in self.chunks)

    async def follow(self, offset: int = 0) -> AsyncIterator[Chunk]:
        """Yield the chunks from an offset in tokens on, until the answer has ended."""
        position = 0
        while True:
            while position < len(self.chunks):
                chunk = self.chunks[position]
                position += 1
                if chunk.offset >= offset:
                    yield chunk
            if self.ended:
                return
            await self._changed.wait()

    async def wait_ended(self) -> None:
        """Return when the answer has ended."""
        while not self.ended:
            await self._changed.wait()

    def _wake(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()


class KeptAnswers:
    """Answers of requests that are not repeatable, kept for retries of their callers."""

    def __init__(self, clock: Callable[[], float]):
        """Start with no answer; the clock is monotonic, in seconds."""
        self._clock = clock
        self._answers: OrderedDict[str, tuple[Answer, float]] = OrderedDict()

    def keep(self, answer: Answer) -> None:
        """Keep an answer from its start on."""
        self._forget_old()
        self._answers[answer.request_id] = (answer, self._clock())

    def find(self, request_id: str) -> Answer | None:
        """Return the answer of a request, or None if it is not kept."""
        found = self._answers.get(request_id)
        return found[0] if found is not None else None

    def _forget_old(self) -> None:
        """Drop ended answers past their retention or beyond the size limit, oldest first."""
        limit_s = self._clock() - ANSWER_RETENTION_S
        chars = sum(len(part.text) for kept, _ in self._answers.values() for part in kept.chunks)
        for name, (answer, since_s) in list(self._answers.items()):
            if since_s > limit_s and chars <= MAX_KEPT_CHARS:
                return
            if answer.ended:
                chars -= len(answer.text())
                del self._answers[name]
