"""The state of a request in progress: its requirements and the attempts made so far.

Contains no behaviour: the router and the attempts update `Progress`, the rules of `routing` read it
as `Attempts`, and the request log writes it out.
"""

from dataclasses import dataclass, field

from springbridge.routing.continuation import START, Misfit, Position
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.records import Admitted, Demand, Route
from springbridge.routing.resumption import VersionSource
from springbridge.routing.retries import Attempts

from springbridge_node.gateway.callers.answer import CallerAnswer
from springbridge_node.gateway.callers.ingress import IncomingRequest
from springbridge_node.gateway.http.answer_end import AnswerEnd
from springbridge_node.gateway.http.head_faults import HeadFault
from springbridge_node.gateway.http.http_head import Head
from springbridge_node.gateway.peers.load_sharing import SharedAttempt
from springbridge_node.gateway.requests.stage import Stage


@dataclass(frozen=True, slots=True)
class HeldFailure:
    """An endpoint's own failure, kept to be relayed if no other endpoint succeeds."""

    head: Head
    body: bytes


@dataclass(frozen=True, slots=True)
class ChosenEndpoint:
    """An endpoint that a request was sent to, with its load as known to this instance then.

    Attributes:
      born_ms: Start of its run as this instance knew it, see `EndpointIncarnation`.
      in_flight: Requests in flight at the endpoint.
      prefill_tokens: Prompt tokens that it had not processed yet.
      kept_tokens: Tokens of this prompt that its cache probably held.
      source: Endpoint from whose cache it should fetch more of the prompt, "" for none.
      coordinator: Address of the coordinator that chose it, "" for this instance.
      through: Incarnation of the peer through which the connection led, "" if it was direct.
      version: Version of its software as this instance knew it then, None if unknown.
      sent_s: When the request was sent there, on the clock of `clock.now_s`.
    """

    endpoint: str
    born_ms: int | None
    in_flight: int
    prefill_tokens: int
    kept_tokens: int
    source: str
    coordinator: str
    sent_s: float
    through: str = ""
    version: str | None = None

    @classmethod
    def from_choice(
        cls, choice: Choice, demand: Demand, through: str, sent_s: float
    ) -> "ChosenEndpoint":
        """Return the record of a choice; called before the request is counted at the endpoint."""
        state = choice.state
        return cls(
            endpoint=state.entry.endpoint_id,
            born_ms=state.entry.born_ms,
            in_flight=state.in_flight,
            prefill_tokens=state.prefill_tokens,
            kept_tokens=state.cache.cached_tokens(demand.prompt_parts),
            source=choice.source.entry.endpoint_id if choice.source else "",
            coordinator=choice.coordinator,
            sent_s=sent_s,
            through=through,
            version=state.entry.version,
        )


@dataclass
class Progress:
    """The progress of a request so far.

    Attributes:
      stage: What is being done for it.
      endpoint_id: Endpoint that was selected last, "" before the first.
      tried: Endpoints that no further attempt goes to.
      event_sent: Whether the caller has received an event of a stream.
      chosen: The endpoints that it was sent to, in order.
      sends, misdirected, paths_lost, unreached, busy, may_have_run, only_blank: See `Attempts`.
      position: How much of a stream the caller has.
      relayed_head: Head of the answer that the caller got, None before.
      may_be_whole: Whether an answer has ended in order behind the caller's last event, so that it
        is in doubt whether the stream ends there.
      misfit: Why the answer to the latest send does not go on with the caller's stream; None if it
        does, or has not begun.
      version: Version at which the stream has to go on: that of the endpoint which wrote its first
        event. None before that event, or if that endpoint's version is unknown.
      version_source: From where the version is known.
      first_piece_s: When the caller got the first piece of the answer, on the monotonic clock;
        None before.
      last_piece_s: When the caller got the latest piece of it, on the same clock.
      longest_pause_s: Longest time between two pieces so far, in seconds.
      answer_began_s: When the endpoint of the latest send began to write events, on the same clock;
        None if it has not, as always with a plain answer.
      answer_status: Status of the answer to the latest send, 0 before its head.
      answer_end: How the answer to the latest send ended; None if it has not, or none began.
      head_fault: What was wrong with the head of the latest answer; None if nothing was.
      failure: The last failure that an endpoint answered with and that was held back.
      load: The current attempt in the load that instances share.
      avoided: Endpoints that it must not go to now because other suspects are on trial there.
      on_trial: Whether the current attempt is a trial; see quarantine_gate.py.
      parts_on_trial: Keys of the parts of its prompt that the current attempt is a trial of; see
        part_gate.py.
      part_keys: Keys of the parts of its prompt that it may share; None until they are needed.
      held_since_s: When it began to wait for a trial, on the monotonic clock; 0 before.
      held_back: Endpoints that denied it a permit since it was sent last.
      permit_wait_s: Seconds that it has waited for permits of endpoints with a rate limit.
      without_place: Brittle endpoints that had no place for it since it was sent last.
      place_wait_s: Seconds that it has waited for places.
      last_resort: Whether the endpoint chosen last was known to be leaving when it was chosen.
      obstacles: Number of endpoints of its service that each obstacle ruled out when none could be
        selected; keyed by the names in eligibility.py.
      fingerprint: Hash that is the same whenever the same request is sent again; "" until it is
        needed, see request_fingerprint.py.
    """

    stage: Stage = Stage.ADMIT
    endpoint_id: str = ""
    tried: set[str] = field(default_factory=set)
    chosen: list[ChosenEndpoint] = field(default_factory=list)
    sends: int = 0
    misdirected: int = 0
    paths_lost: int = 0
    unreached: int = 0
    busy: int = 0
    may_have_run: bool = False
    event_sent: bool = False
    only_blank: bool = False
    position: Position = START
    relayed_head: Head | None = None
    may_be_whole: bool = False
    misfit: Misfit | None = None
    version: str | None = None
    version_source: VersionSource = VersionSource.NONE
    first_piece_s: float | None = None
    last_piece_s: float = 0.0
    longest_pause_s: float = 0.0
    answer_began_s: float | None = None
    answer_status: int = 0
    answer_end: AnswerEnd | None = None
    head_fault: HeadFault | None = None
    failure: HeldFailure | None = None
    load: SharedAttempt | None = None
    avoided: set[str] = field(default_factory=set)
    on_trial: bool = False
    parts_on_trial: frozenset[str] = frozenset()
    part_keys: tuple[str, ...] | None = None
    held_since_s: float = 0.0
    held_back: set[str] = field(default_factory=set)
    permit_wait_s: float = 0.0
    without_place: set[str] = field(default_factory=set)
    place_wait_s: float = 0.0
    last_resort: bool = False
    obstacles: dict[str, int] = field(default_factory=dict)
    fingerprint: str = ""

    def note_piece_relayed(self, now_s: float) -> None:
        """Record the time at which a piece of the answer is sent to the caller."""
        if self.first_piece_s is None:
            self.first_piece_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_piece_s)
        self.last_piece_s = now_s


@dataclass(frozen=True, slots=True)
class Exchange:
    """A caller's request with everything that its attempts need."""

    request: IncomingRequest
    admitted: Admitted
    demand: Demand
    answer: CallerAnswer
    progress: Progress

    @property
    def route(self) -> Route:
        """Return the route that the request takes."""
        return self.admitted.route

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave the request."""
        return self.admitted.arrival.request_id

    def attempts(self) -> Attempts:
        """Return the attempts so far in the form that the rules for retries and giving up read."""
        progress = self.progress
        return Attempts(
            sends=progress.sends,
            misdirected=progress.misdirected,
            paths_lost=progress.paths_lost,
            unreached=progress.unreached,
            busy=progress.busy,
            may_have_run=progress.may_have_run,
            answer_started=self.answer.started,
            only_blank=progress.only_blank,
            last_event=progress.position.resume_after,
            version=progress.version,
        )
