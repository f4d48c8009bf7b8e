"""The error record that functions return in the failure case of a returns.Result."""

from dataclasses import dataclass

from springbridge.codes import INFO, Code, Fate, Info


@dataclass(frozen=True)
class Problem:
    """Why a request or command did not succeed.

    Attributes:
      detail: The specific fault, without any content of a prompt or answer.
      source: Where the problem was found: a header, a row, an endpoint or a node.
      retry_after_s: Seconds after which a retry may succeed, or None if unknown.
    """

    code: Code
    detail: str = ""
    source: str = ""
    retry_after_s: float | None = None

    @property
    def info(self) -> Info:
        """Return the HTTP status, fate and advice of the code."""
        return INFO[self.code]

    @property
    def not_run(self) -> bool:
        """Return whether the code promises that no endpoint ran the request."""
        return self.info.fate is Fate.NOT_RUN

    def sentence(self) -> str:
        """Return one line on what was wrong and what the caller can do about it."""
        parts = [part for part in (self.source, self.detail) if part]
        return ": ".join(parts + [self.info.advice])

    def with_source(self, source: str) -> "Problem":
        """Return the same problem with a wider source prefixed to its own."""
        joined = f"{source}: {self.source}" if self.source else source
        return Problem(self.code, self.detail, joined, self.retry_after_s)
