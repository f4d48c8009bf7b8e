"""Tests of faults.py: which lines of a node's log are violations."""

from collections import Counter
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge_standins.gateway.soak.faults import check_faults

FAULT = '{"kind":"KeyError","line":"pool.py:7","where":"serve","message_type":"springbridge.fault"}'
ERROR = (
    '{"kind":"KeyError","logger":"asyncio","level":"ERROR","message_type":"springbridge.library"}'
)


# Guards against a soak that passes though its nodes log exceptions that nobody foresaw.
@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([], []),
        ([FAULT, FAULT], ["KeyError at pool.py:7 in serve, 2 times"]),
        ([ERROR], ["KeyError at asyncio in a library, 1 times"]),
        ([ERROR.replace("ERROR", "WARNING")], []),
        ([FAULT[:-9]], []),
        (['{"message_type":"springbridge.request.ended","detail":"springbridge.fault"}'], []),
    ],
)
def test_each_kind_of_unforeseen_exception_in_a_log_is_a_violation(tmp_path, lines, expected):
    (tmp_path / "node-0.log").write_text("\n".join(lines))
    found = Counter()
    soak = SimpleNamespace(violated=lambda promise, detail: found.update([detail]))
    check_faults(soak, tmp_path)
    assert_that(list(found), Equals(expected))
