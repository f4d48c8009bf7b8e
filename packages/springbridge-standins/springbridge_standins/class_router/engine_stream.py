"""What a stand-in engine makes: streams, the text of their tokens, and the faults to switch."""

import asyncio
import hashlib
from dataclasses import dataclass, field


@dataclass
class Faults:
    """Switchable faults.

    Attributes:
      slow: Factor on the time of each step.
      frozen: Whether nothing moves and nothing is answered.
      refuse: Whether new jobs are turned away before they start.
      garble: What to spoil in streams: gap, foreign, repeat, cut or nothing.
    """

    slow: float = 1.0
    frozen: bool = False
    refuse: bool = False
    garble: str = ""


@dataclass
class Stream:
    """One job."""

    job_id: str
    tag: str
    first_offset: int
    total: int
    priority: int
    number: int
    prefill_s: float
    produced: int = 0
    ended: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def offset(self) -> int:
        """Return the number of tokens of the answer that exist."""
        return self.first_offset + self.produced

    @property
    def whole(self) -> bool:
        """Return whether the answer is complete."""
        return self.offset >= self.total

    def wake(self) -> None:
        """Wake the readers."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


def answer_tag(prompt: str) -> str:
    """Return what all tokens of the answer to a prompt begin with."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def answer_text(tag: str, start: int, end: int) -> str:
    """Return the tokens of an answer from start to before end."""
    return "".join(f"{tag}:{number} " for number in range(start, end))
