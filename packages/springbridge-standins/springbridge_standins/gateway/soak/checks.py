"""Checks of the soak on the answers that callers got and the requests that engines received."""

from springbridge_standins.gateway.soak.engine import full_stream, plain_answer
from springbridge_standins.gateway.soak.state import PathCut, SentRequest, Soak
from springbridge_standins.http_wire import RawAnswer

# Customer of the key that all callers of the soak use.
CUSTOMER = "councils"
# Paths of the callers' requests.
PATHS = ("/safe/x", "/once/x", "/stream/x", "/single/x")
# Engines to which a request may be sent on the other paths, maxAttempts of the routes.
MAX_ENGINES = 2
# Longest time that a request is in progress, timeoutMs of the routes.
LONGEST_REQUEST_S = 3.0
# Those whose requests may be executed only once.
NOT_REPEATABLE = frozenset({"/once/x", "/single/x"})
# Statuses that report a request as not run.
NOT_RUN = frozenset({408, 421, 429, 503})


def check_answer(soak: Soak, path: str, request_id: str, body: bytes, response: RawAnswer) -> None:
    """Check an answer that a caller got."""
    streams = path in ("/stream/x", "/single/x")
    expected = full_stream(request_id) if streams else plain_answer(request_id, body)
    check_body(soak, path, request_id, expected, response)
    if response.status == 503 and b'"QUARANTINED"' in response.body:
        soak.violated("other requests are not quarantined", f"{request_id} {path}")
    if response.status in (401, 403, 404):
        soak.violated("allowed requests are not denied", f"{request_id} {path} {response.status}")
    if response.status in NOT_RUN and path in NOT_REPEATABLE:
        soak.reported_not_run.add(request_id)
        if response.status == 503 and "retry-after" not in response.headers:
            soak.violated("a refusal names a retry time", f"{request_id} {path}")


def check_body(
    soak: Soak, path: str, request_id: str, expected: bytes, response: RawAnswer
) -> None:
    """Check that a success has the expected body, or a part from its beginning if it is cut off."""
    if response.status == 200 and response.is_complete and response.body != expected:
        soak.violated("complete answer", f"{request_id} {path} got {response.body[:80]!r}")
    if (
        response.status == 200
        and not response.is_complete
        and request_id not in soak.endless
        and not expected.startswith(response.body)
    ):
        soak.violated(
            "a truncated answer is a prefix of its own",
            f"{request_id} {path} got {response.body[:80]!r}",
        )


def check_no_answer(
    soak: Soak, path: str, request_id: str, node_was_killed: bool, exc: Exception
) -> None:
    """Check a request without answer, which is only allowed if its node was killed.

    Args:
      exc: The exception that ended the caller's wait.
    """
    if node_was_killed:
        return
    if isinstance(exc, TimeoutError):
        soak.violated("an answer by the deadline", f"{request_id} {path}")
    elif soak.record.runs[request_id]:
        soak.violated(
            "a request that runs is answered", f"{request_id} {path} {type(exc).__name__}"
        )


def check_served(soak: Soak) -> None:
    """Check that the fleet served callers at all; without that no other check sees anything."""
    if not any(soak.counts[f"{path} 200"] for path in PATHS):
        soak.violated("the fleet serves callers", f"of {len(soak.sent)} requests none got 200")


def check_duties(soak: Soak) -> None:
    """Check who made duty calls, and that no window was reported twice with different counts."""
    for line in soak.duties.violations():
        soak.violated("one holder of the duties", line)
    soak.counts["usage windows reported"] = len(soak.duties.reports)


def check_record(soak: Soak) -> None:
    """Check the requests that the engines ran against those that callers sent."""
    for request_id, runs in soak.record.runs.items():
        sent = soak.sent.get(request_id)
        if sent is None:
            soak.violated("nothing runs that was not sent", request_id)
            continue
        if soak.record.bodies[request_id] != sent.body_digest:
            soak.violated("bodies are unchanged", request_id)
        if soak.record.customers[request_id] != CUSTOMER:
            soak.violated("the key's customer", request_id)
        if request_id in soak.reported_not_run:
            soak.violated("not run means not run", request_id)
        if runs > _max_runs(soak, request_id, sent):
            soak.violated("attempts", f"{request_id} {sent.path} ran {runs} times")
        if len(_engines_that_count(soak, request_id, sent)) > MAX_ENGINES:
            soak.violated("attempts", f"{request_id} {sent.path} ran at more than {MAX_ENGINES}")


def _max_runs(soak: Soak, request_id: str, sent: SentRequest) -> int:
    """Return how often a request may run.

    A run that ended as a path of its node was cut may be followed by one at the same engine.
    """
    if sent.path in NOT_REPEATABLE:
        return 1
    return 2 * MAX_ENGINES if _cuts_during(soak, request_id, sent) else MAX_ENGINES


def _engines_that_count(soak: Soak, request_id: str, sent: SentRequest) -> set[str]:
    """Return the engines that count among those that a request may be sent to.

    Those from which its node was cut off during it do not, where it may be repeated.
    """
    ran_at = set(soak.record.engines[request_id])
    if sent.path in NOT_REPEATABLE:
        return ran_at
    return ran_at.difference(*(cut.engines for cut in _cuts_during(soak, request_id, sent)))


def _cuts_during(soak: Soak, request_id: str, sent: SentRequest) -> list[PathCut]:
    """Return the cuts of paths of a request's node while it may have been in progress.

    Its node may have been frozen when it was sent, so its end is that of its answer, if it got one.
    """
    ended_s = soak.answered_s.get(request_id, sent.sent_s + LONGEST_REQUEST_S)
    return [
        cut
        for cut in soak.path_cuts
        if cut.caller_address == sent.caller_address
        and cut.began_s <= ended_s
        and sent.sent_s <= cut.ended_s
    ]
