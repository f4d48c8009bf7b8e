"""Progress of one attempt's stream: latencies for the scheduler, and detection of stalls."""

from dataclasses import dataclass

from springbridge.classes.decisions import Sample
from springbridge.classes.entities import Endpoint, EndpointKind, Request
from springbridge.classes.stream import Chunk

# Time without a chunk that counts as a stall, as a multiple of the class's latency target between
# tokens: 2 s at a target of 65 ms.
STALL_TOKEN_TARGETS = 30
# Lower bound on that time, so that a short pause of an endpoint with tight targets does not end its
# streams.
MIN_STALL_S = 2.0
# The same as a multiple of the latency target for the first token.
STALL_FIRST_TOKEN_TARGETS = 2
# The same for a plain service. It sends nothing before its complete answer, so this is the longest
# wait for one.
SERVICE_STALL_S = 60.0


@dataclass
class Progress:
    """The stream of one attempt so far; times are on the node's monotonic clock.

    Attributes:
      first_s: Arrival of the first chunk, which had first_tokens tokens.
      last_s: Arrival of the newest chunk, 0 before the first.
      sampled_s: Arrival of the last chunk in the samples so far, which hold sampled_tokens tokens.
    """

    started_s: float
    first_s: float = 0.0
    first_tokens: int = 0
    last_s: float = 0.0
    tokens: int = 0
    sampled_s: float = 0.0
    sampled_tokens: int = 0

    def note(self, chunk: Chunk, now_s: float) -> None:
        """Note the arrival of a chunk."""
        if not self.tokens:
            self.first_s = now_s
            self.first_tokens = chunk.tokens
        self.last_s = now_s
        self.tokens += chunk.tokens

    def silence_s(self, now_s: float) -> float:
        """Return the time since the newest chunk, or since the start before the first."""
        return now_s - max(self.started_s, self.last_s)

    def sample(self, slot_request_id: str) -> Sample:
        """Return the latencies since the last sample."""
        first_token_s = 0.0
        if self.tokens and not self.sampled_s:
            first_token_s = self.first_s - self.started_s
            self.sampled_s = self.first_s
            self.sampled_tokens = self.first_tokens
        fresh = self.tokens - self.sampled_tokens
        between_s = (self.last_s - self.sampled_s) / fresh if fresh else 0.0
        self.sampled_s = self.last_s
        self.sampled_tokens = self.tokens
        return Sample(slot_request_id, first_token_s, between_s, self.tokens)


def stall_timeout_s(request: Request, endpoint: Endpoint) -> float:
    """Return the silence in seconds after which an attempt counts as stalled."""
    if endpoint.kind is EndpointKind.SERVICE:
        return SERVICE_STALL_S
    between_s = request.request_class.between_tokens_ms / 1000
    first_s = request.request_class.first_token_ms / 1000
    return max(MIN_STALL_S, STALL_TOKEN_TARGETS * between_s, STALL_FIRST_TOKEN_TARGETS * first_s)
