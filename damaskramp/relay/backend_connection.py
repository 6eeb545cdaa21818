"""Pool of HTTP/1.1 connections to the backend server, one request at a time on each.

The bodies of answers that are held share one budget of memory (`answer_intake`).
"""

import asyncio
from collections.abc import Callable

from damaskramp.core import ByteBudget, Counters
from damaskramp.relay.body_source import READ_BYTES
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.server_answer import Exchange, ExchangeFailure
from damaskramp.relay.server_connection import ServerConnection

__all__ = ["ServerConnections"]

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout for connecting to a server on the same host, in seconds."""

DEFAULT_IDLE_SECONDS = 4.0
"""Idle timeout of a connection, in seconds, if the server states none."""

IDLE_MARGIN_SECONDS = 1.0
"""Time, in seconds, by which an idle connection is closed before the server's own idle
timeout, so that no request races with the close. The server states whole seconds."""


class ServerConnections:
    """Pool of connections to the backend server on this host.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the backend server.
    memory : ByteBudget
        Budget for bodies of answers, from their arrival until they are passed on.

    Attributes
    ----------
    memory : MemoryQueue
        Memory for the bodies of answers.
    read_buffer : memoryview
        Buffer that every connection is read into, one at a time.
    on_idle_closed : callable
        Called when the server has closed a connection that was kept for reuse.
    """

    def __init__(
        self,
        address: str,
        names: ReservedNames,
        clock: Callable[[], float],
        counters: Counters,
        memory: ByteBudget,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._clock = clock
        self._idle: list[ServerConnection] = []
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._tasks: set[asyncio.Task] = set()
        self.names = names
        self.counters = counters
        self.on_idle_closed: Callable[[], None] = lambda: None
        self.memory = MemoryQueue(memory)
        self.read_buffer = memoryview(bytearray(READ_BYTES))

    def update_idle_timeout(self, keep_alive: bytes) -> None:
        """Adopt the idle timeout from the value of the server's Keep-Alive field."""
        for part in keep_alive.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self._idle_seconds = max(0.0, int(value) - IDLE_MARGIN_SECONDS)

    def start(
        self,
        exchange: Exchange,
        request_id: bytes,
        head_only: bool,
        head: bytes,
        body: bytes,
    ) -> Callable[[], None]:
        """Send a request; return a function that abandons it."""
        connection = self._take_idle() if request_id else None
        if connection is not None:
            self.counters.add("backend_connections", reason="reused")
            connection.send(exchange, request_id, head_only, head, body)
            return connection.abandon
        opening = _Opening(self, exchange, request_id, head_only, head, body)
        task = asyncio.get_running_loop().create_task(opening.run())
        # The event loop holds only weak references to tasks.
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return opening.abandon

    def put_back(self, connection: ServerConnection) -> None:
        """Keep a connection for reuse."""
        connection.idle_until = self._clock() + self._idle_seconds
        self._idle.append(connection)

    def lost(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended from the pool."""
        if connection in self._idle:
            self._idle.remove(connection)
            self.on_idle_closed()

    def oldest_idle(self) -> float | None:
        """Clock time at which the oldest idle connection was open; None without one."""
        return min((c.opened_at for c in self._idle if c.usable), default=None)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock()
        for connection in [c for c in self._idle if c.idle_until <= now]:
            self._idle.remove(connection)
            connection.abandon()

    def close(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abandon()

    async def connect(self) -> ServerConnection:
        """Open a connection."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, connection = await loop.create_connection(
                lambda: ServerConnection(self), self._host, self._port
            )
        self.counters.add("backend_connections", reason="opened")
        connection.opened_at = self._clock()
        return connection

    def _take_idle(self) -> ServerConnection | None:
        now = self._clock()
        while self._idle:
            # Reuses the newest connection, so that the oldest ones time out.
            connection = self._idle.pop()
            if connection.usable and connection.idle_until > now:
                return connection
            connection.abandon()
        return None


class _Opening:
    """Request whose connection is being opened."""

    def __init__(
        self,
        pool: ServerConnections,
        exchange: Exchange,
        request_id: bytes,
        head_only: bool,
        head: bytes,
        body: bytes,
    ) -> None:
        self._pool = pool
        self._exchange = exchange
        self._request_id = request_id
        self._head_only = head_only
        self._head = head
        self._body = body
        self._abandoned = False
        self._connection: ServerConnection | None = None

    def abandon(self) -> None:
        self._abandoned = True
        if self._connection is not None:
            self._connection.abandon()

    async def run(self) -> None:
        try:
            connection = await self._pool.connect()
        except (OSError, TimeoutError):
            self._pool.counters.add("backend_connections", reason="failed")
            if not self._abandoned:
                self._exchange.failed(ExchangeFailure.UNREACHABLE)
            return
        if self._abandoned:
            self._pool.put_back(connection)
            return
        self._connection = connection
        exchange, self._exchange = self._exchange, None
        body, self._body = self._body, b""
        connection.send(exchange, self._request_id, self._head_only, self._head, body)
