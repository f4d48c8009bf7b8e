"""What an attempt's end means for its request: another endpoint, or which answer."""

from springbridge.codes import Code
from springbridge.problems import Problem
from springbridge.routing.endpoint_choice import Choice
from springbridge.routing.overload import Overload
from springbridge.routing.records import Admitted
from springbridge.routing.retry_after import when_endpoint_full, while_endpoints_restart

from springbridge_node.gateway.requests.relay import ChosenEndpoint, End, Exchange


def chosen_endpoint(choice: Choice, admitted: Admitted) -> ChosenEndpoint:
    """Return what is believed of an endpoint as a request is sent to it."""
    state = choice.state
    return ChosenEndpoint(
        endpoint=state.entry.endpoint_id,
        in_flight=state.in_flight,
        prefill_tokens=state.prefill_tokens,
        kept_tokens=state.cache.kept_tokens(admitted.arrival.prompt_parts),
        source=choice.source.entry.endpoint_id if choice.source else "",
        coordinator=choice.coordinator,
    )


def is_repeatable(admitted: Admitted) -> bool:
    """Return whether a request may run more than once."""
    return admitted.route.repeatable or admitted.route.resumable


def may_try_another(exchange: Exchange) -> bool:
    """Return whether another endpoint may get the request after an attempt failed."""
    if exchange.answer.started and not _can_be_continued(exchange):
        return False
    return not exchange.progress.may_have_run or is_repeatable(exchange.admitted)


def _can_be_continued(exchange: Exchange) -> bool:
    """Return whether an answer that has begun can go on behind its last event."""
    return exchange.admitted.route.resumable and exchange.progress.last_event is not None


def problem_after(exchange: Exchange, end: End) -> Problem:
    """Return the problem of a request whose last attempt failed."""
    if not exchange.progress.may_have_run:
        return not_run_problem(exchange.admitted, end.value)
    return Problem(Code.ENGINE_FAILED, end.value)


def no_endpoint_problem(exchange: Exchange) -> Problem:
    """Return the problem of a request for which there is no further endpoint."""
    if exchange.progress.may_have_run:
        return Problem(Code.ENGINE_FAILED, "no further engine")
    if exchange.progress.sends:
        return not_run_problem(exchange.admitted, "no further engine")
    return not_run_problem(exchange.admitted, "no engine", while_endpoints_restart())


def not_run_problem(admitted: Admitted, detail: str, retry_after_s: float | None = None) -> Problem:
    """Return the refusal of a request that no endpoint has run, with the time to come back.

    Args:
      retry_after_s: That time; left out, an endpoint is full for a moment.
    """
    if retry_after_s is None:
        retry_after_s = when_endpoint_full(admitted.route.target_s)
    return Problem(Code.NO_ENGINE, detail, retry_after_s=retry_after_s)


def overload_problem(overload: Overload) -> Problem:
    """Return the refusal of a request whose endpoints have too much for its priority."""
    waits = f"backlog {overload.backlog_s:.2f} s, longest wait {overload.longest_wait_s:.2f} s"
    detail = f"engines: least {waits}, least in flight {overload.in_flight}"
    return Problem(Code.OVERLOADED, detail, retry_after_s=overload.retry_after_s)
