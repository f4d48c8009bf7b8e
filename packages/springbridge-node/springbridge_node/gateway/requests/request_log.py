"""Logs and counts decisions on requests: one line for each decision, never any content.

Owns the fields of these log lines. Operators' tools read them, so their names and units must not
change.
"""

from dataclasses import dataclass

from springbridge.problems import Problem
from springbridge.routing.endpoint_state import EndpointState
from springbridge.routing.records import Arrival
from springbridge.routing.resumption import takes_up_stream
from springbridge.routing.retries import AttemptOutcome

from springbridge_node import clock, logs
from springbridge_node.gateway.endpoints.end_verification import VerifiedEnd
from springbridge_node.gateway.requests.exchange import ChosenEndpoint, Exchange
from springbridge_node.gateway.requests.request_fingerprint import fingerprint_of
from springbridge_node.gateway.telemetry import Telemetry
from springbridge_node.stall_watch import StallWatch

# Upper bound in seconds for the logged age of the endpoint list, which is infinite before the first
# list and could not be written as a number in JSON. Above any age that occurs.
MAX_LOGGED_AGE_S = 1e6
# Longest logged part of a header that callers choose freely, in characters; ids are shorter.
MAX_LOGGED_CHARACTERS = 64
# Maximum number of logged parts of a prompt. Prompts have fewer as a rule.
MAX_LOGGED_PARTS = 12


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """How a request ended: the result code and its reason.

    Attributes:
      result: Name of the result code, or one of the outcomes below; a label of the metrics.
      reason: What caused the result, "" where the result is sufficient.
    """

    result: str
    reason: str = ""


SERVED = RequestOutcome("served")
CALLER_LEFT = RequestOutcome("caller left")


class RequestLog:
    """Writes decisions on requests to the log and the metrics."""

    def __init__(self, telemetry: Telemetry, stalls: StallWatch) -> None:
        """Keep the metrics, and the latest stalls of this process."""
        self._telemetry = telemetry
        self._stalls = stalls

    def refused(self, arrival: Arrival, problem: Problem, version: int) -> None:
        """Log a request that is refused before it is admitted."""
        self._telemetry.requests.labels("", problem.code.name).inc()
        logs.event(
            "request.refused",
            request_id=arrival.request_id,
            host=arrival.host,
            config_version=version,
            code=int(problem.code),
            reason=problem.detail,
        )

    def answer_ended(self, exchange: Exchange) -> None:
        """Count how the answer to an attempt ended, unless none began or it was given up."""
        end = exchange.progress.answer_end
        if end is not None:
            self._telemetry.answers.labels(end.value).inc()

    def end_verified(
        self, exchange: Exchange, state: EndpointState, found: VerifiedEnd, began_s: float
    ) -> None:
        """Log how an answer ended that nothing marks the end of, with what may have misled.

        Args:
          began_s: When its verification began, on the clock of `clock.now_s`.
        """
        chosen = exchange.progress.chosen[-1]
        logs.event(
            "request.end_verified",
            request_id=exchange.request_id,
            engine=chosen.endpoint,
            through=chosen.through,
            answer_end=found.end.value,
            run_heard=found.run_id[:MAX_LOGGED_CHARACTERS],
            leaving=state.is_leaving,
            listed=state.is_listed,
            stalled_ms=round(1000 * self._stalls.longest_since(chosen.sent_s)),
            took_ms=round(1000 * (clock.now_s() - began_s), 1),
        )

    def attempt_failed(self, exchange: Exchange, endpoint_id: str, end: AttemptOutcome) -> None:
        """Log and count an attempt that did not deliver an answer."""
        self._telemetry.attempts.labels(end.value).inc()
        if exchange.progress.head_fault is not None:
            self._telemetry.broken_heads.labels(exchange.progress.head_fault.value).inc()
        logs.event(
            "request.attempt_failed",
            request_id=exchange.request_id,
            engine=endpoint_id,
            version=exchange.progress.chosen[-1].version,
            end=end.value,
            answer_end=_answer_end(exchange),
            head_fault=_head_fault(exchange),
            sends=exchange.progress.sends,
            fingerprint=fingerprint_of(exchange),
            status=exchange.progress.answer_status,
            misfit=_misfit(exchange),
            last_event=_bounded(exchange.progress.position.last_id),
            after_ms=_age_ms(exchange),
        )

    def endpoint_ejected(self, state: EndpointState, end: AttemptOutcome) -> None:
        """Log that an endpoint was ejected after consecutive failures."""
        logs.event(
            "engine.rests",
            engine=state.entry.endpoint_id,
            last_end=end.value,
            failures=state.failures,
            seconds=round(state.ejected_until_s - clock.now_s(), 2),
        )

    def unreachable(
        self, exchange: Exchange, endpoint_id: str, reason: str, idle_connections: int
    ) -> None:
        """Log a failed connection to an endpoint, which gets no request until one succeeds.

        Args:
          idle_connections: Connections to it that are kept and were opened before.
        """
        self._telemetry.attempts.labels("unreachable").inc()
        logs.event(
            "engine.unreachable",
            request_id=exchange.request_id,
            engine=endpoint_id,
            reason=reason,
            idle_connections=idle_connections,
            after_ms=_age_ms(exchange),
        )

    def no_descriptor(self, exchange: Exchange, endpoint_id: str, reason: str) -> None:
        """Log that this instance had no descriptor left for a connection to an endpoint."""
        self._telemetry.attempts.labels("no descriptor").inc()
        logs.event(
            "node.no_descriptor",
            request_id=exchange.request_id,
            engine=endpoint_id,
            reason=reason,
        )

    def ended(self, exchange: Exchange, outcome: RequestOutcome, list_age_s: float) -> None:
        """Log the end of a request, with its result and the endpoints it was sent to.

        Args:
          list_age_s: Age of the endpoint list in use, in seconds; infinite before the first.
        """
        admitted, progress = exchange.admitted, exchange.progress
        first_ms = None
        if progress.first_piece_s is not None:
            first_s = progress.first_piece_s - admitted.arrival.arrived_s
            first_ms = round(first_s * 1000)
            self._telemetry.first_piece.labels(admitted.route.name).observe(first_s)
        self._telemetry.requests.labels(admitted.route.name, outcome.result).inc()
        if takes_up_stream(admitted.route, admitted.arrival):
            source = progress.version_source.value
            self._telemetry.taken_up.labels(source, outcome.result).inc()
        logs.event(
            "request.ended",
            request_id=exchange.request_id,
            route=admitted.route.name,
            service=admitted.service.name,
            customer=admitted.customer,
            priority=admitted.priority,
            resume_after=_bounded(admitted.arrival.resume_after),
            resumes=_bounded(admitted.arrival.resumes),
            version=progress.version,
            version_source=progress.version_source.value,
            config_version=admitted.version,
            list_age_ms=round(min(list_age_s, MAX_LOGGED_AGE_S) * 1000),
            engines=[_endpoint_fields(chosen, exchange) for chosen in progress.chosen],
            sends=progress.sends,
            fingerprint=progress.fingerprint,
            parts=shared_parts(exchange),
            result=outcome.result,
            reason=outcome.reason,
            answer_end=_answer_end(exchange),
            obstacles=progress.obstacles,
            body_bytes=exchange.answer.body_bytes,
            first_ms=first_ms,
            pause_ms=round(progress.longest_pause_s * 1000),
            total_ms=_age_ms(exchange),
        )


def _endpoint_fields(chosen: ChosenEndpoint, exchange: Exchange) -> dict[str, object]:
    """Return the log fields of an endpoint that a request was sent to."""
    return {
        "engine": chosen.endpoint,
        "version": chosen.version,
        "born_ms": chosen.born_ms,
        "in_flight": chosen.in_flight,
        "prefill_tokens": chosen.prefill_tokens,
        "kept_tokens": chosen.kept_tokens,
        "source": chosen.source,
        "scheduler": chosen.coordinator,
        "through": chosen.through,
        "sent_ms": round((chosen.sent_s - exchange.admitted.arrival.arrived_s) * 1000),
    }


def shared_parts(exchange: Exchange) -> list[str]:
    """Return the ids of the parts of the prompt that other requests may share, as logged."""
    parts = exchange.demand.prompt_parts[:-1]
    return [part.part_id[:MAX_LOGGED_CHARACTERS] for part in parts[:MAX_LOGGED_PARTS]]


def _bounded(value: str | None) -> str | None:
    """Return a caller's header value, cut to the longest that is logged."""
    return value if value is None else value[:MAX_LOGGED_CHARACTERS]


def _answer_end(exchange: Exchange) -> str:
    """Return how the answer to the latest attempt ended, "" if it has not."""
    end = exchange.progress.answer_end
    return "" if end is None else end.value


def _head_fault(exchange: Exchange) -> str:
    """Return what was wrong with the head of the latest answer, "" if nothing was."""
    fault = exchange.progress.head_fault
    return "" if fault is None else fault.value


def _misfit(exchange: Exchange) -> str:
    """Return why the latest answer does not go on with the caller's stream, "" if it does."""
    misfit = exchange.progress.misfit
    return "" if misfit is None else misfit.value


def _age_ms(exchange: Exchange) -> int:
    """Return how long ago a request arrived, in milliseconds."""
    return round((clock.now_s() - exchange.admitted.arrival.arrived_s) * 1000)
