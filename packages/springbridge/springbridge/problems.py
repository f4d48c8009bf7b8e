"""The error record that travels between layers inside a returns.Result."""

from dataclasses import dataclass

from springbridge.codes import INFO, Code, Fate, Info


@dataclass(frozen=True)
class Problem:
    """Why a request or command did not succeed.

    Attributes:
      code: The numbered result code.
      detail: What in particular was wrong, without any content of a prompt or answer.
      source: Where it was noticed: a header, a row, an engine or a node.
      retry_after_s: Seconds after which asking again makes sense, or None.
    """

    code: Code
    detail: str = ""
    source: str = ""
    retry_after_s: float | None = None

    @property
    def info(self) -> Info:
        """Return the HTTP status, fate and advice that belong to the code."""
        return INFO[self.code]

    @property
    def not_run(self) -> bool:
        """Return whether the code promises that no engine ran the request."""
        return self.info.fate is Fate.NOT_RUN

    def sentence(self) -> str:
        """Return one line that says what was wrong and what to do."""
        parts = [part for part in (self.source, self.detail) if part]
        return ": ".join(parts + [self.info.advice])

    def with_source(self, source: str) -> "Problem":
        """Return the same problem with the source added in front."""
        joined = f"{source}: {self.source}" if self.source else source
        return Problem(self.code, self.detail, joined, self.retry_after_s)
