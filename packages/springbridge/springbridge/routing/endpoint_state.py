"""One endpoint as an instance sees it: its entry, its load, how it fails, and what it reads.

The load is that of all instances as far as their notices came. Notices may be lost, so a load whose
end is never heard of expires, and that of an instance that is silent is dropped: what an endpoint
had to read when a cut came would count as its backlog long after it was read.
"""

from collections.abc import Set
from dataclasses import dataclass, field

from springbridge.routing.load_notices import Load, LoadNotice, teller_of
from springbridge.routing.prefix_cache import PrefixCache
from springbridge.routing.reading_speed import ReadingSpeed
from springbridge.routing.records import EndpointEntry

LONGEST_LOAD_S = 20.0
LONGEST_READ_S = 8.0


@dataclass
class EndpointState:
    """One endpoint as this node sees it.

    Attributes:
      loads: The requests that it has now, of all nodes as far as this node knows.
      prefill_tokens: Prompt tokens of those that it has still to read.
      speed: How fast it reads.
      failures: Failures in a row.
      rests_until_s: No request goes there before this moment unless there is no other endpoint.
      reachable: Whether the last attempt to connect succeeded; if not, no request goes there.
      usable_until_s: When an endpoint that is no longer listed gets its last request.
    """

    entry: EndpointEntry
    loads: dict[str, Load] = field(default_factory=dict)
    prefill_tokens: int = 0
    speed: ReadingSpeed = field(default_factory=ReadingSpeed)
    failures: int = 0
    ejected_until_s: float = 0.0
    reachable: bool = True
    usable_until_s: float = float("inf")
    cache: PrefixCache = field(default_factory=PrefixCache)

    @property
    def in_flight(self) -> int:
        """Return how many requests it has now."""
        return len(self.loads)

    @property
    def backlog_s(self) -> float:
        """Return how long it takes to read what it has still to read, in seconds."""
        return self.prefill_tokens / self.speed.tokens_per_s

    def is_usable(self, now_s: float) -> bool:
        """Return whether it may get a request, at rest or not."""
        return not self.entry.draining and self.reachable and self.usable_until_s > now_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether it gets a request only if there is no other endpoint."""
        return self.ejected_until_s > now_s

    def started(self, notice: LoadNotice, now_s: float) -> None:
        """Add a request to the load, once."""
        if notice.attempt_id in self.loads:
            return
        kept = max(self.cache.kept_tokens(notice.prompt_parts), notice.fetched_tokens)
        prefill = max(0, notice.prompt_tokens - kept)
        self.cache.note(notice.prompt_parts)
        self.loads[notice.attempt_id] = Load(prefill, now_s)
        self.prefill_tokens += prefill
        if prefill:
            self.speed.has_work(now_s)

    def read(self, attempt_id: str, now_s: float) -> None:
        """Note that the endpoint has read a prompt."""
        self.speed.was_read(self._drop_prefill(attempt_id), now_s)
        self._note_idle()

    def ended(self, attempt_id: str) -> None:
        """Drop a request from the load, read or not."""
        self._drop_prefill(attempt_id)
        self.loads.pop(attempt_id, None)
        self._note_idle()

    def expire_loads(self, now_s: float) -> None:
        """Drop loads whose end was never heard of, since its notice was lost or its node died."""
        for attempt_id, load in list(self.loads.items()):
            if load.since_s < now_s - LONGEST_LOAD_S:
                self.ended(attempt_id)
            elif load.since_s < now_s - LONGEST_READ_S:
                self._drop_prefill(attempt_id)
        self._note_idle()

    def keep_loads_of(self, incarnations: Set[str]) -> None:
        """Drop the loads of nodes that are not heard of: nobody would tell of their end."""
        for attempt_id in list(self.loads):
            if teller_of(attempt_id) not in incarnations:
                self.ended(attempt_id)

    def _note_idle(self) -> None:
        """Tell the estimate of the speed if there is nothing left to read."""
        if not self.prefill_tokens:
            self.speed.is_idle()

    def _drop_prefill(self, attempt_id: str) -> int:
        """Take a prompt out of what is still to read and return its tokens."""
        load = self.loads.get(attempt_id)
        if load is None or not load.prefill_tokens:
            return 0
        self.prefill_tokens -= load.prefill_tokens
        self.loads[attempt_id] = Load(0, load.since_s)
        return load.prefill_tokens
