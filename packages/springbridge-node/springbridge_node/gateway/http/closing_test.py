"""Tests of closing.py: how the kernel ends the connections of a process that is killed."""

import socket
import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

# A process that sends half an answer on a connection that it accepts, and is killed.
KILLED = """
import os, signal, socket, sys
from springbridge_node.gateway.http.closing import end_in_order, reset_on_close
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
sock, _ = listener.accept()
for step in sys.argv[1:]:
    {"reset": reset_on_close, "order": end_in_order}[step](sock)
sock.sendall(b"half")
sock.recv(1)
os.kill(os.getpid(), signal.SIGKILL)
"""


# Guards against a process whose end looks like the end of its answer.
@pytest.mark.parametrize(
    ("steps", "ended_in_order"),
    [((), True), (("reset",), False), (("reset", "order"), True)],
)
def test_the_end_of_a_process_resets_what_is_not_complete(steps, ended_in_order):
    command = [sys.executable, "-c", KILLED, *steps]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        port = int(process.stdout.readline())
        with socket.create_connection(("127.0.0.1", port), timeout=10.0) as sock:
            got = sock.recv(4)
            sock.sendall(b"x")
            assert_that((got, _ends_in_order(sock)), Equals((b"half", ended_in_order)))


def _ends_in_order(sock):
    """Return whether a connection ends in order, as opposed to with a reset."""
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return False
