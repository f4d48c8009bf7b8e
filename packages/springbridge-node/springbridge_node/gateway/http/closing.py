"""Chooses how a connection ends whose end means something: with a reset, or in order.

Where the end of a connection marks the end of an answer, an orderly end says that the answer is
whole. The kernel closes the connections of a process that ends in order as well, unless they are
set to be reset. So such a connection is set to be reset as long as its answer is not complete.
"""

import socket
import struct

# Values of SO_LINGER (on or off, seconds): a close resets the connection, or sends what is left.
RESET = struct.pack("ii", 1, 0)
IN_ORDER = struct.pack("ii", 0, 0)


def reset_on_close(sock: socket.socket) -> None:
    """Let a connection end with a reset, also if this process is killed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def end_in_order(sock: socket.socket) -> None:
    """Let a connection end in order; what was written to the socket is sent first."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, IN_ORDER)
