"""HTTP client with a pool of connections to one address.

A connection carries one request at a time. A connection whose answer was abandoned or
broken, or on which more arrived than its answer, is closed and never used again, so no
request can receive the answer of another.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

import h11
from expression import Error, Ok, Result

from damaskramp.http.messages import (
    BODILESS_STATUSES,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
    is_status,
)

__all__ = ["HttpClient", "TransportError", "TransportErrorKind"]

READ_CHUNK_BYTES = 64 * 1024
TAIL_READ_TIMEOUT_SECONDS = 30.0
"""Longest wait for the next part of the tail of a large answer."""


class TransportErrorKind(Enum):
    """Kind of failure of an exchange."""

    CONNECT = "connect"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class TransportError:
    """Failure of an exchange.

    Attributes
    ----------
    bytes_sent : bool
        Whether any byte of the request may have reached the server.
    """

    kind: TransportErrorKind
    bytes_sent: bool
    detail: str = ""


class _CountingReader(asyncio.StreamReader):
    """Stream reader that knows how many bytes have arrived and are not read."""

    def __init__(self) -> None:
        super().__init__()
        self.unread_bytes = 0

    def feed_data(self, data: bytes) -> None:
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


class _Connection:
    def __init__(self, reader: _CountingReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.h11 = h11.Connection(h11.CLIENT)

    @property
    def reusable(self) -> bool:
        has_unasked_bytes = self.reader.unread_bytes or self.h11.trailing_data[0]
        ended = self.reader.at_eof() or self.writer.is_closing()
        return not has_unasked_bytes and not ended

    def close(self) -> None:
        self.writer.close()

    async def next_event(self) -> object:
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.reader.read(READ_CHUNK_BYTES)
            if not data and self.h11.their_state is h11.SEND_RESPONSE:
                raise ConnectionResetError("connection closed before the answer")
            self.h11.receive_data(data)


class HttpClient:
    """Client of one server.

    Parameters
    ----------
    host : str
        IP address of the server.
    port : int
        Port of the server.
    idle_connections : int
        Maximum number of idle connections kept for reuse.
    whole_bytes : int
        Size in bytes up to which a body is returned whole. Of a larger body, only the
        beginning is returned, with a tail from which the rest is read.
    """

    def __init__(
        self,
        host: str,
        port: int,
        idle_connections: int = 64,
        whole_bytes: int = 1024 * 1024,
    ) -> None:
        self._host = host
        self._port = port
        self._idle: deque[_Connection] = deque()
        self._is_closed = False
        self._idle_connections = idle_connections
        self._whole_bytes = whole_bytes

    async def request(
        self, request: HttpRequest, timeout: float
    ) -> Result[HttpResponse, TransportError]:
        """Send a request and read its answer.

        Parameters
        ----------
        request : HttpRequest
            Request to send; the fields ``host`` and ``content-length`` are added.
        timeout : float
            Seconds after which the request is abandoned.

        Returns
        -------
        Result
            The response, or the failure of the exchange.
        """
        sent = False
        connection = None
        try:
            async with asyncio.timeout(timeout):
                connection = self._take_idle() or await self._connect()
                data = self._encode(connection, request)
                sent = True
                connection.writer.write(data)
                await connection.writer.drain()
                response = await self._read_response(connection, request.method)
        except TimeoutError:
            self._abort(connection)
            return Error(TransportError(TransportErrorKind.TIMEOUT, sent))
        except (OSError, h11.ProtocolError) as error:
            self._abort(connection)
            kind = TransportErrorKind.BROKEN if sent else TransportErrorKind.CONNECT
            return Error(TransportError(kind, sent, str(error)))
        except BaseException:
            self._abort(connection)
            raise
        return Ok(response)

    async def reachable(self, timeout: float) -> bool:
        """Check whether the server accepts connections.

        Returns False only if the server refuses the connection. A server that does not
        answer within `timeout` seconds may be overloaded, so it counts as reachable.
        """
        try:
            async with asyncio.timeout(timeout):
                connection = await self._connect()
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            return True
        connection.close()
        return True

    def close(self) -> None:
        """Close the idle connections now, and each other one after its answer."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return None

    async def _connect(self) -> _Connection:
        loop = asyncio.get_running_loop()
        reader = _CountingReader()
        transport, protocol = await loop.create_connection(
            lambda: asyncio.StreamReaderProtocol(reader), self._host, self._port
        )
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return _Connection(reader, writer)

    def _abort(self, connection: _Connection | None) -> None:
        if connection is not None:
            connection.writer.transport.abort()

    def _encode(self, connection: _Connection, request: HttpRequest) -> bytes:
        headers = [(b"host", f"{self._host}:{self._port}".encode())]
        headers += request.headers
        if request.body or request.method in {"POST", "PUT", "PATCH"}:
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target.encode(), headers=headers
        )
        data = connection.h11.send(head)
        if request.body:
            data += connection.h11.send(h11.Data(data=request.body))
        return data + connection.h11.send(h11.EndOfMessage())

    async def _read_response(
        self, connection: _Connection, method: str
    ) -> HttpResponse:
        head = await connection.next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await connection.next_event()
        if not isinstance(head, h11.Response):
            raise ConnectionResetError("connection closed before a response arrived")
        if not is_status(head.status_code):
            raise ConnectionAbortedError(f"answer with status {head.status_code}")
        headers = tuple((bytes(name), bytes(value)) for name, value in head.headers)
        if not _has_delimited_body(head, method):
            # The end of such a body can't be distinguished from a broken connection.
            raise ConnectionAbortedError("answer without a length")
        body = bytearray()
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                self._release(connection)
                return HttpResponse(head.status_code, headers, bytes(body))
            body += event.data
            if len(body) > self._whole_bytes:
                tail = self._read_tail(connection)
                return HttpResponse(head.status_code, headers, bytes(body), tail)

    async def _read_tail(self, connection: _Connection) -> AsyncIterator[bytes]:
        finished = False
        try:
            while True:
                event = await self._next_tail_event(connection)
                if isinstance(event, h11.EndOfMessage):
                    finished = True
                    break
                yield bytes(event.data)
        finally:
            if finished:
                self._release(connection)
            else:
                self._abort(connection)

    async def _next_tail_event(self, connection: _Connection) -> object:
        try:
            async with asyncio.timeout(TAIL_READ_TIMEOUT_SECONDS):
                return await connection.next_event()
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            raise IncompleteResponseError(str(error)) from error

    def _release(self, connection: _Connection) -> None:
        state = connection.h11
        done = state.our_state is h11.DONE and state.their_state is h11.DONE
        has_room = len(self._idle) < self._idle_connections
        if self._is_closed or not done or not has_room:
            connection.close()
            return
        state.start_next_cycle()
        self._idle.append(connection)


def _has_delimited_body(head: h11.Response, method: str) -> bool:
    """Check whether the end of a response can be detected (RFC 9112, section 6.3)."""
    if method == "HEAD" or head.status_code in BODILESS_STATUSES:
        return True
    return any(
        name in (b"content-length", b"transfer-encoding") for name, _ in head.headers
    )
