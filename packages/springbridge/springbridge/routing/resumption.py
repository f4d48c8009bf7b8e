"""Resumption: at which version a stream goes on that a caller takes up again.

Decides for a request that names the last event its caller has. Endpoints do not check what they go
on from, and events of different versions do not fit together, so such a stream goes on only at the
version that began it; where that cannot be known, it does not go on.
Inputs: what instances know of the stream's origin, the version under which the origin's endpoint is
listed now, and the versions that instances have seen of the service.
Result: a Resumption, whose version is None if the stream cannot go on.

| the origin                                                    | goes on at      |
| ------------------------------------------------------------- | --------------- |
| known                                                         | its version     |
| known, but its endpoint's id is listed with another version   | none            |
| known to be ambiguous                                         | none            |
| not known; one version seen all along, by a current list      | that version    |
| not known; one version seen, but neither watched nor recorded |                 |
| for long enough                                               | none            |
| not known; one version seen, and the list may be out of date  | none            |
| not known; several versions seen, or an endpoint without one  | none            |
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from springbridge.routing.records import Arrival, Route
from springbridge.routing.seen_versions import SeenReport
from springbridge.routing.stream_origins import StreamOrigin

# A stream of unknown origin can have begun as long ago as this many timeouts of its route: it has
# been served by the attempt before, and is now by this one.
MAX_STREAM_TIMEOUTS = 2.0


class VersionSource(Enum):
    """From where the version of a stream is known; the values are logged and counted.

    ANSWER: the first event came within this answer. OWN, HOME, ASKED: this instance recorded the
    origin, or one that keeps it, or any other. SOLE: the service has had a single version.
    """

    NONE = ""
    ANSWER = "answer"
    OWN = "own"
    HOME = "home"
    ASKED = "asked"
    SOLE = "sole version"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Resumption:
    """The decision on a stream that is taken up again.

    Attributes:
      version: Version at which it goes on; None if it cannot go on.
      reason: Why it cannot go on, "" if it can.
    """

    version: str | None
    reason: str = ""


def takes_up_stream(route: Route, arrival: Arrival) -> bool:
    """Return whether a request takes up a stream again that an earlier one began."""
    return route.streaming and route.resumable and bool(arrival.resume_after)


def max_stream_age_s(route: Route) -> float:
    """Return how long ago a stream of unknown origin can have begun, in seconds."""
    return MAX_STREAM_TIMEOUTS * route.timeout_s


def at_origin(origin: StreamOrigin, listed_version: str | None) -> Resumption:
    """Return the decision on a stream whose origin is known.

    Args:
      listed_version: Version of the origin's endpoint on the list, None if it is not listed. If it
        is another one, the endpoint may have had it already when it began the stream.
    """
    if origin.version is None:
        return Resumption(None, "its id began streams at several versions")
    if listed_version not in (None, origin.version):
        return Resumption(None, "its endpoint is listed with another version")
    return Resumption(origin.version)


def without_origin(reports: Sequence[SeenReport], is_current: bool, max_age_s: float) -> Resumption:
    """Return the decision on a stream whose origin nobody knows.

    Args:
      reports: What this instance and others have seen of the service, and what is recorded of it.
      is_current: Whether this instance's list is as new as the request.
      max_age_s: How long ago the stream can have begun, in seconds.
    """
    versions = _versions(reports)
    if not is_sole(reports):
        return Resumption(None, f"origin unknown, {len(versions)} versions seen")
    if not is_current:
        return Resumption(None, "origin unknown, list may be out of date")
    watched_s = max(report.watched_s for report in reports)
    if watched_s < max_age_s:
        return Resumption(None, f"origin unknown, versions watched for {watched_s:.1f} s")
    return Resumption(next(iter(versions)))


def is_sole(reports: Sequence[SeenReport]) -> bool:
    """Return whether a service has had a single known version."""
    versions = _versions(reports)
    return len(versions) == 1 and None not in versions


def _versions(reports: Sequence[SeenReport]) -> frozenset[str | None]:
    """Return all versions in some reports."""
    return frozenset().union(*(report.versions for report in reports))
