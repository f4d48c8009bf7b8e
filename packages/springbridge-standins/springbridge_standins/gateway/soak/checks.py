"""The promises that the soak checks, from what callers got and engines saw."""

from springbridge_standins.gateway.soak.engine import plain_of, stream_of
from springbridge_standins.gateway.soak.state import Soak
from springbridge_standins.http_wire import RawAnswer

# The customer whose key all callers of the soak use.
CUSTOMER = "councils"
# Paths whose requests may not be repeated.
RUN_ONCE = frozenset({"/once/x", "/single/x"})
# Statuses that say that a request was not run.
NOT_RUN = frozenset({408, 421, 429, 503})


def check_answer(soak: Soak, path: str, request_id: str, body: bytes, got: RawAnswer) -> None:
    """Check what a caller got."""
    streams = path in ("/stream/x", "/single/x")
    expected = stream_of(request_id) if streams else plain_of(request_id, body)
    if got.status == 200 and got.is_complete and got.body != expected:
        soak.violated("whole answer", f"{request_id} {path} got {got.body[:80]!r}")
    if got.status == 200 and not got.is_complete and not expected.startswith(got.body):
        soak.violated("part of its own answer", f"{request_id} {path} got {got.body[:80]!r}")
    if got.status == 503 and b'"QUARANTINED"' in got.body:
        soak.violated("others are not refused beside it", f"{request_id} {path}")
    if got.status in (401, 403, 404):
        soak.violated("allowed requests are not denied", f"{request_id} {path} {got.status}")
    if got.status in NOT_RUN and path in RUN_ONCE:
        soak.reported_not_run.add(request_id)
        if got.status == 503 and "retry-after" not in got.headers:
            soak.violated("time to come back", f"{request_id} {path}")


def check_no_answer(
    soak: Soak, path: str, request_id: str, node_was_killed: bool, exc: Exception
) -> None:
    """Check a request that got no answer, which only the kill of its node excuses.

    Args:
      exc: What ended the caller's wait.
    """
    if node_was_killed:
        return
    if isinstance(exc, TimeoutError):
        soak.violated("an answer by the deadline", f"{request_id} {path}")
    elif soak.record.runs[request_id]:
        soak.violated("what runs is answered", f"{request_id} {path} {type(exc).__name__}")


def check_duties(soak: Soak) -> None:
    """Check who made duty calls, and that no window was reported twice with other counts."""
    for line in soak.duties.violations():
        soak.violated("one holder of the duties", line)
    soak.counts["usage windows reported"] = len(soak.duties.reports)


def check_record(soak: Soak) -> None:
    """Check what the engines saw."""
    for request_id, runs in soak.record.runs.items():
        asked = soak.asked.get(request_id)
        if asked is None:
            soak.violated("nothing unasked runs", request_id)
            continue
        if soak.record.bodies[request_id] != asked.body_digest:
            soak.violated("bodies are unchanged", request_id)
        if soak.record.customers[request_id] != CUSTOMER:
            soak.violated("the key's customer", request_id)
        if request_id in soak.reported_not_run:
            soak.violated("not run means not run", request_id)
        if runs > (1 if asked.path in RUN_ONCE else 2):
            soak.violated("attempts", f"{request_id} {asked.path} ran {runs} times")
