"""Tests of endpoint_http.py: which failures prove that a job did not start."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import HTTPTimeoutError

from springbridge_node.class_router.endpoints.endpoint_http import (
    ADMITTED_HEADER,
    proves_not_started,
)


def answered(code, **headers):
    """Return the failure that an endpoint's answer leads to."""
    request = HTTPRequest("http://127.0.0.1:9000/v1/generate")
    return HTTPClientError(code, response=HTTPResponse(request, code, HTTPHeaders(headers)))


@pytest.mark.parametrize(
    ("exc", "proves"),
    [
        (ConnectionRefusedError(), True),
        (ConnectionResetError(), False),
        (HTTPTimeoutError("Timeout while connecting"), True),
        (HTTPTimeoutError("Timeout in request queue"), True),
        (HTTPTimeoutError("Timeout during request"), False),
        (answered(503, **{ADMITTED_HEADER: "no"}), True),
        (answered(503), False),
        (HTTPClientError(599), False),
    ],
)
def test_only_a_refusal_or_no_connection_proves_that_nothing_started(exc, proves):
    assert_that(proves_not_started(exc), Is(proves))
