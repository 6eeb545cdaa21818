"""Small HTTP server for readiness, status and metrics, built on h11.

Requests are answered one at a time on each connection and a few in one turn of the
event loop, and a connection is not read while its requests or answers wait. So no
number of pipelined requests delays others or takes more than a bounded memory.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from enum import Enum

import h11

from damaskramp.core import MemoryHolder, MemoryShare, worst_holders
from damaskramp.relay.shedding import Shedding, SheddingLog, client_address

__all__ = ["StatusConnection", "StatusServer"]

Page = Callable[[], tuple[int, bytes]]

CONNECTION_BYTES = 48 * 1024
"""Memory of a connection, in bytes: a head of 16 KiB with what is read beyond it, and
an unread page."""

READ_BYTES = 4096
"""Most bytes that are read of a connection at once."""

ANSWERS_PER_TURN = 4
"""Answers in one turn of the event loop, some milliseconds, in which no call is served.
Readiness is checked once a second."""

EVENTS_PER_ANSWER = 16
"""Events of a connection that are processed for one of these answers."""

HEAD_SECONDS = 3.0
"""Longest time, in seconds, for the head of a request: the platform's default."""

UNREAD_SECONDS = 5.0
"""Longest time, in seconds, for which a page may stay unread."""

IDLE_SECONDS = 75.0
"""Idle timeout of a connection, in seconds; it covers scrapes once a minute."""

MIN_STALL_SECONDS = 0.25
"""Shortest time without progress, in seconds, after which a connection is closed for
another one."""

SHED_CONNECTIONS = 4
"""Connections that are closed at a time for others."""

MANY_ANSWERS = 8
"""Answers in about a second from which a connection that progresses is closed for
others. Readers ask once a second at most."""


class StatusServer:
    """Server of one address, which serves pages by path.

    Parameters
    ----------
    memory, descriptors : MemoryShare
        Shares of the accounts for the connections of this address.
    """

    def __init__(
        self,
        pages: Mapping[bytes, Page],
        clock: Callable[[], float],
        memory: MemoryShare,
        descriptors: MemoryShare,
        log: SheddingLog,
    ) -> None:
        self.pages = pages
        self.clock = clock
        self._memory = memory
        self._descriptors = descriptors
        self._log = log
        self._waiting: deque[StatusConnection] = deque()
        self.connections: set[StatusConnection] = set()
        self.read_buffer = memoryview(bytearray(READ_BYTES))

    def connect(self) -> "StatusConnection":
        """Create the protocol of a new connection."""
        return StatusConnection(self)

    def open_connection(self, connection: "StatusConnection") -> bool:
        """Reserve memory and a descriptor; close others if there is no room."""
        if not self._reserve():
            self._shed_some()
            if not self._reserve():
                self._log.record(Shedding.STATUS, connection.client, 0)
                return False
        self.connections.add(connection)
        return True

    def _shed_some(self) -> None:
        """Close connections without progress, or else those that get most answers."""
        now = self.clock()
        stalled = worst_holders(
            self.connections, Shedding.STATUS, now, MIN_STALL_SECONDS, SHED_CONNECTIONS
        )
        chosen = [connection for connection, _ in stalled]
        if not chosen and self.connections:
            busiest = max(self.connections, key=lambda one: one.recent_answers)
            if busiest.recent_answers >= MANY_ANSWERS:
                chosen = [busiest]
        for connection in chosen:
            self._log.record(Shedding.STATUS, connection.client, CONNECTION_BYTES)
            connection.shed(Shedding.STATUS)

    def close_connection(self, connection: "StatusConnection") -> None:
        """Release what a connection has reserved."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._descriptors.release(1)
            self._memory.release(CONNECTION_BYTES)

    def _reserve(self) -> bool:
        if not self._descriptors.reserve(1):
            return False
        if self._memory.reserve(CONNECTION_BYTES):
            return True
        self._descriptors.release(1)
        return False

    def wait(self, connection: "StatusConnection") -> None:
        """Let a connection process what it has received when its turn comes."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._process)
        self._waiting.append(connection)

    def _process(self) -> None:
        """Let the first connections that wait process a request each."""
        for _ in range(min(ANSWERS_PER_TURN, len(self._waiting))):
            connection = self._waiting.popleft()
            if connection.process():
                self._waiting.append(connection)
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._process)

    def sweep(self) -> None:
        """Close connections that have been idle, slow or stalled for too long."""
        now = self.clock()
        for connection in list(self.connections):
            connection.check_timeouts(now)


class StatusConnection(asyncio.BufferedProtocol, MemoryHolder):
    """HTTP connection of a reader.

    Attributes
    ----------
    recent_answers : int
        Number of answers, halved with each check of the timeouts.
    """

    def __init__(self, server: StatusServer) -> None:
        self._server = server
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._progressed_at = server.clock()
        self._target = b""
        self._stalled = False
        self._incomplete = False
        self._waits = False
        self.recent_answers = 0

    @property
    def client(self) -> str:
        """Address of the reader."""
        return client_address(self._transport)

    @property
    def progressed_at(self) -> float:
        """Clock time, in seconds, of the connection's begin or last answer."""
        return self._progressed_at

    def held(self, kind: Enum) -> int:
        """Return the number of connections."""
        return 1

    def shed(self, kind: Enum) -> None:
        """Close the connection."""
        self._server.close_connection(self)
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and register the connection."""
        self._transport = transport
        if not self._server.open_connection(self):
            transport.abort()
            return
        # One page at a time is held for a reader that does not read.
        transport.set_write_buffer_limits(high=0)

    def connection_lost(self, error: Exception | None) -> None:
        """Release the memory."""
        self._transport = None
        self._server.close_connection(self)

    def pause_writing(self) -> None:
        """Stop answering a reader that does not read."""
        self._stalled = True

    def resume_writing(self) -> None:
        """Answer further requests, now that the page has been read."""
        self._stalled = False
        self._progressed_at = self._server.clock()
        self._wait()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes; all connections share one."""
        return self._server.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Process what has arrived when the turn of the connection comes."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._http.receive_data(bytes(self._server.read_buffer[:size]))
        except (h11.ProtocolError, RuntimeError):
            # An error state, or data after the last request of the connection.
            self._transport.close()
            return
        if not self._incomplete:
            self._incomplete = True
            self._progressed_at = self._server.clock()
        self._transport.pause_reading()
        self._wait()

    def _wait(self) -> None:
        if not self._waits:
            self._waits = True
            self._server.wait(self)

    def process(self) -> bool:
        """Process events up to one answer; return whether to continue later."""
        self._waits = False
        transport = self._transport
        if transport is None or transport.is_closing() or self._stalled:
            return False
        try:
            self._waits = self._process_events()
        except h11.ProtocolError:
            transport.close()
        return self._waits

    def _process_events(self) -> bool:
        for _ in range(EVENTS_PER_ANSWER):
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._transport.resume_reading()
                return False
            if event is h11.PAUSED or isinstance(
                event, h11.ConnectionClosed | h11.Data
            ):
                # Requests with a body are no questions for a page.
                self._transport.close()
                return False
            if isinstance(event, h11.Request):
                self._target = bytes(event.target).partition(b"?")[0]
            elif isinstance(event, h11.EndOfMessage):
                self._answer()
                return self._transport is not None and not self._stalled
        return True

    def _answer(self) -> None:
        page = self._server.pages.get(self._target)
        status, body = page() if page is not None else (404, b"not found\n")
        headers = [
            (b"Content-Type", b"text/plain; version=0.0.4"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        response = h11.Response(status_code=status, headers=headers)
        data = self._http.send(response) + self._http.send(h11.Data(data=body))
        self._progressed_at = self._server.clock()
        self.recent_answers += 1
        self._incomplete = bool(self._http.trailing_data[0])
        self._transport.write(data + self._http.send(h11.EndOfMessage()))
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle, slow or stalled for too long."""
        self.recent_answers //= 2
        longest = IDLE_SECONDS
        if self._stalled:
            longest = UNREAD_SECONDS
        elif self._incomplete:
            longest = HEAD_SECONDS
        if now - self._progressed_at > longest:
            self.shed(Shedding.STATUS)
