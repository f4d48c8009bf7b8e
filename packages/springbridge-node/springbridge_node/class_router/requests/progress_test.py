"""Tests of progress.py: latencies of a stream, and stall timeouts."""

from springbridge.classes.entities import Endpoint, EndpointKind, Request, RequestClass, Tier
from springbridge.classes.stream import Chunk
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_node.class_router.requests.progress import (
    MIN_STALL_S,
    SERVICE_STALL_S,
    STALL_FIRST_TOKEN_TARGETS,
    STALL_TOKEN_TARGETS,
    Progress,
    stall_timeout_s,
)


def request_of(first_token_ms, between_tokens_ms):
    """Return a request of a class with these latency targets."""
    domains = frozenset({"perth-a"})
    targets = (first_token_ms, between_tokens_ms)
    request_class = RequestClass("claims", Tier.URGENT, "m", *targets, 5000, domains, True)
    return Request("id-1", request_class, "findwell", 1.0, True, 5.0, 0.0, 10)


def endpoint_of(kind):
    return Endpoint("e-1", kind, "127.0.0.1:9000", "perth-a", "m", 1000, True)


def chunk_of(offset, tokens):
    return Chunk("id-1", offset, tokens, "x", False)


def test_first_token_is_reported_once_and_the_rest_as_a_mean():
    progress = Progress(10.0)
    progress.note(chunk_of(0, 1), 10.5)
    progress.note(chunk_of(1, 2), 10.9)
    sample = progress.sample("ask-1")
    assert_that(round(sample.first_token_s, 6), Equals(0.5))
    assert_that(round(sample.between_tokens_s, 6), Equals(0.2))
    progress.note(chunk_of(3, 1), 11.0)
    sample = progress.sample("ask-1")
    assert_that(sample.first_token_s, Equals(0.0))
    assert_that(round(sample.between_tokens_s, 6), Equals(0.1))


def test_silence_counts_from_the_start_until_the_first_chunk():
    progress = Progress(10.0)
    assert_that(progress.silence_s(12.0), Equals(2.0))
    progress.note(chunk_of(0, 1), 11.5)
    assert_that(progress.silence_s(12.0), Equals(0.5))


def test_stall_follows_the_targets_above_a_shortest_silence():
    model = endpoint_of(EndpointKind.MODEL)
    assert_that(stall_timeout_s(request_of(100, 10), model), Equals(MIN_STALL_S))
    assert_that(stall_timeout_s(request_of(100, 500), model), Equals(STALL_TOKEN_TARGETS * 0.5))
    assert_that(
        stall_timeout_s(request_of(4000, 10), model), Equals(STALL_FIRST_TOKEN_TARGETS * 4.0)
    )
    service = endpoint_of(EndpointKind.SERVICE)
    assert_that(stall_timeout_s(request_of(100, 10), service), Equals(SERVICE_STALL_S))
