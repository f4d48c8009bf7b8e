"""Accepts connections at one address, as many as the instance can bear, and serves each.

Where all connections that a listener may have are open, the one that waits longest for a request,
or to finish one, gives way to a new one: a client that sends its request at once is served beside
a crowd of others that stand open.
"""

import asyncio
import errno
import socket

from springbridge.instance_limits import ListenerKind
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from springbridge_node import clock
from springbridge_node.gateway.inbound.connection import READ_BYTES, InboundConnection, Phase
from springbridge_node.gateway.inbound.connection_loop import ConnectionLoop, RequestService
from springbridge_node.gateway.inbound.intake import SWEEP_INTERVAL_S, Intake
from springbridge_node.gateway.inbound.refusals import RefusalKind

# Connections that may wait to be accepted. Above tornado's 128, so that callers that all connect at
# once, as after the loss of an instance, are not refused by the kernel.
LISTEN_BACKLOG = 512
# Connections that are accepted before other tasks have a turn.
ACCEPTS_AT_ONCE = 64
# Bytes that the kernel keeps of a connection whose client sends faster than it is read.
RECEIVE_BUFFER_BYTES = 64 << 10
# Seconds without accepting after the process had no descriptor left.
PAUSE_S = 0.1
# Errors of an accept that say that the process or the system has no descriptor or memory left.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Seconds without a byte, and in all, for which what arrives behind a last answer is discarded.
LINGER_GAP_S, LINGER_S = 2.0, 10.0
# Phases in which a connection can be closed without harm to a request that is being served.
WAITING = frozenset({Phase.IDLE, Phase.HEAD, Phase.BODY, Phase.CLOSING})


class Listener:
    """One listening address, with its connections.

    Attributes:
      kind: What it is for.
    """

    def __init__(self, kind: ListenerKind, service: RequestService, intake: Intake) -> None:
        """Start without a socket."""
        self.kind = kind
        self._is_closing = False
        self._service = service
        self._intake = intake
        self._most = intake.limits.connections(kind)
        self._connections: set[InboundConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._sockets: list[socket.socket] = []
        intake.listeners.append(self)

    def listen(self, address: str) -> None:
        """Accept connections at an address, an IP number and port."""
        host, _, port = address.rpartition(":")
        self._sockets = bind_sockets(int(port), host, backlog=LISTEN_BACKLOG)
        for sock in self._sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._resume()

    def stop_accepting(self) -> None:
        """Accept no further connections; open ones stay open."""
        self._pause()
        while self._sockets:
            self._sockets.pop().close()

    def close_after_answers(self) -> None:
        """Close each connection with its next answer."""
        self._is_closing = True
        for conn in self._connections:
            conn.closes_with_answer = True

    def connection_count(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    def close_slow(self) -> None:
        """Close or refuse what takes too long."""
        for conn in list(self._connections):
            if self._is_overdue(conn):
                self._end_slow(conn)

    def close_waiting(self) -> bool:
        """Close the connection that can be spared best; return whether there was one."""
        waiting = (conn for conn in self._connections if conn.phase in WAITING)
        victim = min(waiting, key=_worth, default=None)
        if victim is None:
            return False
        self._intake.report(self.kind, RefusalKind.NO_CONNECTION, victim.remote_ip)
        self._connections.discard(victim)
        victim.close()
        return True

    def _resume(self) -> None:
        """Accept connections."""
        for sock in self._sockets:
            IOLoop.current().add_handler(sock, self._accept, IOLoop.READ)

    def _pause(self) -> None:
        """Let connections wait in the kernel."""
        for sock in self._sockets:
            IOLoop.current().remove_handler(sock)

    def _accept(self, listening: socket.socket, events: int) -> None:
        """Accept the connections that wait, some at once."""
        for _ in range(ACCEPTS_AT_ONCE):
            try:
                sock, address = listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                # None waits any more, or its client has closed it.
                return
            except OSError as exc:
                if exc.errno not in EXHAUSTED:
                    raise
                self._wait_for_descriptor()
                return
            self._open(sock, address[0])

    def _wait_for_descriptor(self) -> None:
        """Free a descriptor, and accept again a little later: a loop would find none either."""
        self._intake.report(self.kind, RefusalKind.NO_DESCRIPTOR, "")
        self._intake.free_descriptor()
        self._pause()
        asyncio.get_running_loop().call_later(PAUSE_S, self._resume)

    def _open(self, sock: socket.socket, remote_ip: str) -> None:
        """Serve a connection that was accepted, if there is room for it."""
        if len(self._connections) >= self._most and not self.close_waiting():
            self._intake.report(self.kind, RefusalKind.NO_CONNECTION, remote_ip)
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(sock, read_chunk_size=READ_BYTES)
        conn = InboundConnection(stream, remote_ip, self._intake.budget)
        conn.on_evicted = lambda kind: self._intake.report(self.kind, kind, remote_ip)
        conn.closes_with_answer = self._is_closing
        self._connections.add(conn)
        task = asyncio.ensure_future(ConnectionLoop(conn, self._service).run())
        self._tasks.add(task)
        task.add_done_callback(lambda _: self._ended(task, conn))

    def _ended(self, task: asyncio.Task, conn: InboundConnection) -> None:
        """Forget a connection whose task has ended."""
        self._tasks.discard(task)
        self._connections.discard(conn)

    def _is_overdue(self, conn: InboundConnection) -> bool:
        """Return whether a connection takes longer than its phase may take."""
        limits, now_s = self._service.limits, self._intake.budget.now_s
        # Both times are as of a sweep, which may be one interval earlier.
        took_s = now_s - conn.began_s - SWEEP_INTERVAL_S
        gap_s = now_s - conn.progress_s - SWEEP_INTERVAL_S
        match conn.phase:
            case Phase.IDLE:
                return took_s > limits.idle_timeout_s
            case Phase.HEAD:
                return took_s > limits.header_timeout_s
            case Phase.BODY:
                is_late = conn.deadline_s is not None and clock.now_s() > conn.deadline_s
                return is_late or gap_s > limits.idle_timeout_s
            case Phase.CLOSING:
                return gap_s > LINGER_GAP_S or took_s > LINGER_S
            case _:
                return False

    def _end_slow(self, conn: InboundConnection) -> None:
        """Refuse a request that arrives too slowly, or close a connection without one."""
        if conn.phase in (Phase.HEAD, Phase.BODY):
            conn.fail(RefusalKind.TOO_SLOW)
        else:
            conn.close()


def _worth(conn: InboundConnection) -> tuple[bool, bool, float, int]:
    """Return the rank of a connection that waits; the lowest one is closed first."""
    return conn.phase is Phase.BODY, conn.answered > 0, conn.began_s, conn.number
