"""Tests of bounded_log.py: logging never blocks the node, and dropped lines are counted."""

import os

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from springbridge_node.gateway.bounded_log import LINES_BURST, UNWRITTEN_BYTES, _BoundedOutput

LONG_LINE = "x" * (64 << 10)


@pytest.fixture
def pipe():
    """Yield the read end of a pipe and a bounded output that writes to the pipe."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    yield reader, _BoundedOutput(writer)
    os.close(writer)
    os.close(reader)


def test_a_line_is_written_at_once(pipe):
    reader, output = pipe
    output.write("line\n")
    assert_that(os.read(reader, 100), Equals(b"line\n"))


def test_lines_beyond_the_burst_are_counted_as_dropped(pipe):
    _, output = pipe
    for _ in range(int(LINES_BURST) * 2):
        output.write("x\n")
    assert_that(output.dropped, GreaterThan(LINES_BURST * 0.5))


def test_a_reader_that_takes_nothing_costs_lines_and_never_blocks(pipe):
    _, output = pipe
    for _ in range(20):
        output.write(LONG_LINE)
    assert_that(output.dropped, GreaterThan(0))
    assert_that(len(output._unwritten) <= UNWRITTEN_BYTES + len(LONG_LINE), Equals(True))


def test_lines_that_waited_go_out_in_order_once_the_reader_reads_again(pipe):
    reader, output = pipe
    output.write("a" * (64 << 10))
    output.write("b" * 100)
    first = os.read(reader, 64 << 10)
    output.write("c")
    rest = os.read(reader, 64 << 10)
    assert_that((first + rest).decode(), Equals("a" * (64 << 10) + "b" * 100 + "c"))


def test_the_log_goes_on_after_more_waited_than_may(pipe):
    reader, output = pipe
    os.set_blocking(reader, False)
    for _ in range(20):
        output.write(LONG_LINE)
    for _ in range(20):
        read = available(reader)
        output.write("later\n")
    read += available(reader)
    assert_that(read.endswith(b"later\n"), Equals(True))


def available(reader):
    """Return the bytes that can be read from a pipe now."""
    try:
        return os.read(reader, 1 << 20)
    except BlockingIOError:
        return b""


def test_lines_that_wait_when_the_reader_is_gone_are_counted(pipe):
    reader, output = pipe
    os.close(reader)
    output.write("one\n")
    output.write("two\n")
    assert_that(output.dropped, Equals(2))
    os.dup2(os.open(os.devnull, os.O_RDONLY), reader)
