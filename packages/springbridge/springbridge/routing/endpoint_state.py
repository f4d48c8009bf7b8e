"""State of one endpoint as seen by an instance: entry, load, failures and prompt cache.

Owns the load: the running requests of all instances whose notices arrived. Notices can be lost, so
a load that is too old is dropped. Every load of an instance that is no longer alive is dropped too:
nobody would report its end, and it would count as backlog long after the endpoint was done.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from springbridge.routing.load_notices import LoadNotice, incarnation_of
from springbridge.routing.prefix_cache import PrefixCache
from springbridge.routing.prompt_load import PromptLoad, is_short
from springbridge.routing.reading_speed import ReadingSpeed
from springbridge.routing.records import EndpointEntry
from springbridge.statements.statement_table import EndpointStatements

# EndpointState.usable_until_s of an endpoint that is on the list.
LISTED = float("inf")
# Seconds after which a request no longer counts as running. It bounds how long an endpoint looks
# fuller than it is after the notice of a request's end was lost.
LOAD_EXPIRY_S = 20.0
# Seconds after which a prompt no longer counts as unread. It bounds the same for the backlog and
# must stay below LOAD_EXPIRY_S: a prompt is read before its request ends.
PREFILL_EXPIRY_S = 8.0
assert PREFILL_EXPIRY_S < LOAD_EXPIRY_S


@dataclass(frozen=True, slots=True)
class Load:
    """A request running at an endpoint.

    Attributes:
      prefill_tokens: Prompt tokens that the endpoint probably has still to read; 0 once read.
      since_s: When this instance learnt of the request, on its monotonic clock.
      is_short: Whether the prompt counts as short.
    """

    prefill_tokens: int
    since_s: float
    is_short: bool = False


@dataclass
class EndpointState:
    """State of one endpoint as seen by this instance. Moments are on the monotonic clock.

    Attributes:
      loads: Running requests of all instances whose notices arrived, by attempt id.
      prefill_tokens: Prompt tokens of these that the endpoint has still to read.
      short: Number of running requests with a short prompt, and the rate of their prompt tokens.
      long: The same for long prompts.
      speed: Estimate of how fast the endpoint reads prompts.
      failures: Consecutive failures.
      ejected_until_s: Until then it gets a request only if there is no other endpoint.
      reachable: Whether the last attempt to connect succeeded; if not, it gets no request.
      reported_unreachable_until_s: Until then a peer's report that it is unreachable holds.
      contact_s: When it delivered an answer, or a connection to it came up again, the last time.
      usable_until_s: Until when it may get requests: LISTED, or a moment once it is no longer on
        the list or another endpoint has its address.
      has_departed: Whether it is known to have left: a current list of a store that was not just
        restored lacks it, or another endpoint has its address.
      perhaps_cold_until_s: Until then it may be cold although its entry does not say so yet.
      evacuated: Whether its failure domain is evacuated; if so, it gets no request.
      cache: Estimate of which prompt parts it has cached.
      statements: What it has stated about itself in answers.
    """

    entry: EndpointEntry
    loads: dict[str, Load] = field(default_factory=dict)
    prefill_tokens: int = 0
    short: PromptLoad = field(default_factory=PromptLoad)
    long: PromptLoad = field(default_factory=PromptLoad)
    speed: ReadingSpeed = field(default_factory=ReadingSpeed)
    failures: int = 0
    ejected_until_s: float = 0.0
    reachable: bool = True
    reported_unreachable_until_s: float = 0.0
    contact_s: float = float("-inf")
    usable_until_s: float = LISTED
    has_departed: bool = False
    perhaps_cold_until_s: float = 0.0
    evacuated: bool = False
    cache: PrefixCache = field(default_factory=PrefixCache)
    statements: EndpointStatements = field(default_factory=EndpointStatements)

    @property
    def is_listed(self) -> bool:
        """Return whether it is on the list and was not found to have ended since."""
        return self.usable_until_s == LISTED

    @property
    def is_leaving(self) -> bool:
        """Return whether its entry, or one of its own answers, says that it is leaving."""
        return self.entry.draining or self.statements.leaving.is_certain

    def is_cold(self, now_s: float) -> bool:
        """Return whether it is or may be cold."""
        return self.entry.cold or self.perhaps_cold_until_s > now_s

    @property
    def in_flight(self) -> int:
        """Return the number of running requests."""
        return len(self.loads)

    @property
    def backlog_s(self) -> float:
        """Return the estimated seconds to read the prompts that are still unread."""
        return self.prefill_tokens / self.speed.tokens_per_s

    def record_start(self, notice: LoadNotice, now_s: float) -> None:
        """Add a request to the load; a second notice of the same attempt is ignored."""
        if notice.attempt_id in self.loads:
            return
        cached = max(self.cache.cached_tokens(notice.prompt_parts), notice.fetched_tokens)
        prefill = max(0, notice.prompt_tokens - cached)
        self.cache.add(notice.prompt_parts)
        load = Load(prefill, now_s, is_short(notice.prompt_tokens))
        self.loads[notice.attempt_id] = load
        self._prompt_load(load).record_start(prefill, now_s)
        self.prefill_tokens += prefill
        if prefill:
            self.speed.start_sample(now_s)

    def record_prompt_read(self, attempt_id: str, now_s: float) -> None:
        """Record that the endpoint has read the prompt of an attempt."""
        self.speed.record_read(self._drop_prefill(attempt_id), now_s)
        self._note_idle()

    def record_end(self, attempt_id: str) -> None:
        """Remove an attempt from the load, whether its prompt was read or not."""
        self._drop_prefill(attempt_id)
        load = self.loads.pop(attempt_id, None)
        if load is not None:
            self._prompt_load(load).record_end()
        self._note_idle()

    def expire_loads(self, now_s: float) -> None:
        """Drop loads that are too old, as the notice of their end was probably lost."""
        for attempt_id, load in list(self.loads.items()):
            if load.since_s < now_s - LOAD_EXPIRY_S:
                self.record_end(attempt_id)
            elif load.since_s < now_s - PREFILL_EXPIRY_S:
                self._drop_prefill(attempt_id)
        self._note_idle()

    def drop_loads_except(self, incarnations: Set[str]) -> None:
        """Drop the loads of all instances except the given incarnations, which are alive."""
        for attempt_id in list(self.loads):
            if incarnation_of(attempt_id) not in incarnations:
                self.record_end(attempt_id)

    def _prompt_load(self, load: Load) -> PromptLoad:
        """Return the PromptLoad that counts a request, by the size of its prompt."""
        return self.short if load.is_short else self.long

    def _note_idle(self) -> None:
        """End the sample of the reading speed if no prompt is unread any more."""
        if not self.prefill_tokens:
            self.speed.end_sample()

    def _drop_prefill(self, attempt_id: str) -> int:
        """Mark an attempt's prompt as read; return the tokens that were still unread."""
        load = self.loads.get(attempt_id)
        if load is None or not load.prefill_tokens:
            return 0
        self.prefill_tokens -= load.prefill_tokens
        self.loads[attempt_id] = Load(0, load.since_s, load.is_short)
        return load.prefill_tokens


def leaving_by_service(states: Iterable[EndpointState]) -> dict[str, list[EndpointState]]:
    """Return the listed endpoints that are leaving, by service."""
    found: dict[str, list[EndpointState]] = {}
    for state in states:
        if state.is_leaving and state.is_listed:
            found.setdefault(state.entry.service, []).append(state)
    return found
