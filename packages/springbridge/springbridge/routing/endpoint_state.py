"""One endpoint as an instance sees it: its entry, its load, its failures and its prompt cache.

Owns the load: the requests of all instances, as far as their notices arrived. Notices can be lost,
so a load that is too old is dropped, and so is every load of an instance that is no longer alive:
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

# Value of EndpointState.usable_until_s for an endpoint on the list.
LISTED = float("inf")
# Seconds after which a request no longer counts as running. It bounds how long a lost notice of an
# end makes an endpoint look fuller than it is.
LONGEST_LOAD_S = 20.0
# Seconds after which a prompt no longer counts as unread. It bounds the same for the backlog, and
# must stay below the limit above: a prompt is read before its request ends.
LONGEST_READ_S = 8.0
assert LONGEST_READ_S < LONGEST_LOAD_S


@dataclass(frozen=True, slots=True)
class Load:
    """A request that an endpoint has.

    Attributes:
      prefill_tokens: Prompt tokens that it probably has still to read; 0 once it has read them.
      since_s: When this instance learnt of it, on its monotonic clock.
      is_short: Whether its prompt counts as short.
    """

    prefill_tokens: int
    since_s: float
    is_short: bool = False


@dataclass
class EndpointState:
    """One endpoint as this instance sees it.

    Attributes:
      loads: Its requests by attempt id, those of all instances as far as notices arrived.
      prefill_tokens: Prompt tokens of those that it has still to read.
      short: How many of its requests have a short prompt, and what such prompts bring to read.
      long: The same of long prompts.
      speed: How fast it reads prompts.
      failures: Failures in a row.
      ejected_until_s: Before this moment it gets a request only if there is no other endpoint.
      reachable: Whether the last attempt to connect succeeded; if not, it gets no request.
      usable_until_s: When it may get its last request: LISTED, or a moment if it is on the list no
        more or another endpoint has its address.
      perhaps_cold_until_s: Before this moment it may be cold though its entry does not say so yet.
      evacuated: Whether the operators evacuate its failure domain; it gets no request then.
      cache: Which prompt parts it probably keeps.
      said: What it has said of itself in answers.
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
    usable_until_s: float = LISTED
    perhaps_cold_until_s: float = 0.0
    evacuated: bool = False
    cache: PrefixCache = field(default_factory=PrefixCache)
    said: EndpointStatements = field(default_factory=EndpointStatements)

    @property
    def is_listed(self) -> bool:
        """Return whether it is on the list and was not found gone since."""
        return self.usable_until_s == LISTED

    @property
    def is_leaving(self) -> bool:
        """Return whether its entry, or it itself in an answer, says that it leaves."""
        return self.entry.draining or self.said.leaving.is_certain

    def is_cold(self, now_s: float) -> bool:
        """Return whether it is cold, or may be."""
        return self.entry.cold or self.perhaps_cold_until_s > now_s

    @property
    def in_flight(self) -> int:
        """Return how many requests it has now."""
        return len(self.loads)

    @property
    def backlog_s(self) -> float:
        """Return how many seconds it takes to read the prompts that are still unread."""
        return self.prefill_tokens / self.speed.tokens_per_s

    def started(self, notice: LoadNotice, now_s: float) -> None:
        """Add a request to the load; a second notice of the same attempt changes nothing."""
        if notice.attempt_id in self.loads:
            return
        kept = max(self.cache.kept_tokens(notice.prompt_parts), notice.fetched_tokens)
        prefill = max(0, notice.prompt_tokens - kept)
        self.cache.note(notice.prompt_parts)
        load = Load(prefill, now_s, is_short(notice.prompt_tokens))
        self.loads[notice.attempt_id] = load
        self._prompt_load(load).started(prefill, now_s)
        self.prefill_tokens += prefill
        if prefill:
            self.speed.has_work(now_s)

    def read(self, attempt_id: str, now_s: float) -> None:
        """Note that the endpoint has read the prompt of an attempt."""
        self.speed.was_read(self._drop_prefill(attempt_id), now_s)
        self._note_idle()

    def ended(self, attempt_id: str) -> None:
        """Drop an attempt from the load, whether its prompt was read or not."""
        self._drop_prefill(attempt_id)
        load = self.loads.pop(attempt_id, None)
        if load is not None:
            self._prompt_load(load).ended()
        self._note_idle()

    def expire_loads(self, now_s: float) -> None:
        """Drop loads that are too old: the notice of their end was probably lost."""
        for attempt_id, load in list(self.loads.items()):
            if load.since_s < now_s - LONGEST_LOAD_S:
                self.ended(attempt_id)
            elif load.since_s < now_s - LONGEST_READ_S:
                self._drop_prefill(attempt_id)
        self._note_idle()

    def keep_loads_of(self, incarnations: Set[str]) -> None:
        """Drop the loads of all instances but those that are alive."""
        for attempt_id in list(self.loads):
            if incarnation_of(attempt_id) not in incarnations:
                self.ended(attempt_id)

    def _prompt_load(self, load: Load) -> PromptLoad:
        """Return the record that counts a request, by the size of its prompt."""
        return self.short if load.is_short else self.long

    def _note_idle(self) -> None:
        """End the sample of the reading speed if no prompt is unread."""
        if not self.prefill_tokens:
            self.speed.is_idle()

    def _drop_prefill(self, attempt_id: str) -> int:
        """Count an attempt's prompt as read and return the tokens that were unread."""
        load = self.loads.get(attempt_id)
        if load is None or not load.prefill_tokens:
            return 0
        self.prefill_tokens -= load.prefill_tokens
        self.loads[attempt_id] = Load(0, load.since_s, load.is_short)
        return load.prefill_tokens


def leaving_by_service(states: Iterable[EndpointState]) -> dict[str, list[EndpointState]]:
    """Return the endpoints that are listed and leave, by service."""
    found: dict[str, list[EndpointState]] = {}
    for state in states:
        if state.is_leaving and state.is_listed:
            found.setdefault(state.entry.service, []).append(state)
    return found
