"""HTTP server that handles one request at a time on each connection.

If a connection ends while its request is being handled, the handler is cancelled.

References
----------
RFC 9110, HTTP Semantics; RFC 9112, HTTP/1.1.
"""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import h11

from damaskramp.http.closing import close_lingering
from damaskramp.http.messages import (
    BODILESS_STATUSES,
    Headers,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
)

__all__ = ["Handler", "HttpServer", "HttpServerSettings"]

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
"""Coroutine function from request to response."""

RefusalFormat = Callable[[int, str], HttpResponse]
"""Function from status and detail to the response for an unreadable request."""


def plain_refusal(status: int, detail: str) -> HttpResponse:
    """Make a plain-text response for a request that could not be read."""
    return HttpResponse(status, ((b"content-type", b"text/plain"),), detail.encode())


@dataclass(frozen=True, slots=True)
class HttpServerSettings:
    """Limits of a server.

    Attributes
    ----------
    connections : int
        Maximum number of open connections; a further one is answered 503 and closed.
    body_bytes : int
        Largest request body in bytes.
    header_bytes : int
        Largest request head in bytes.
    header_seconds : float
        Time in which a request must arrive whole once it has begun.
    idle_seconds : float
        Time that a connection may stay open without a request.
    """

    connections: int = 1024
    body_bytes: int = 4 * 1024 * 1024
    header_bytes: int = 16 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 75.0


class HttpServer:
    """HTTP server that passes whole requests to a handler.

    Parameters
    ----------
    settings : HttpServerSettings
        Limits of the server.
    handler : callable
        Coroutine function from request to response.
    refusal_format : callable
        Function that makes the response to a request that could not be read, from its
        status and detail.
    """

    def __init__(
        self,
        settings: HttpServerSettings,
        handler: Handler,
        refusal_format: RefusalFormat = plain_refusal,
    ) -> None:
        self._settings = settings
        self._handler = handler
        self._refusal_format = refusal_format
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._draining = False

    @property
    def settings(self) -> HttpServerSettings:
        """Limits of this server."""
        return self._settings

    @property
    def handler(self) -> Handler:
        """Coroutine function from request to response."""
        return self._handler

    @property
    def refusal_format(self) -> RefusalFormat:
        """Function that makes the response to a request that could not be read."""
        return self._refusal_format

    @property
    def draining(self) -> bool:
        """Whether the connection is closed after each further response."""
        return self._draining

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def over_limit(self) -> bool:
        """Whether more connections are open than allowed."""
        return len(self._connections) > self._settings.connections

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen on an address.

        Raises
        ------
        OSError
            If the address is in use.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, ssl=tls
        )

    def announce_close(self) -> None:
        """Announce in each further response that its connection will be closed."""
        self._draining = True

    def stop_listening(self) -> None:
        """Accept no new connections."""
        self.announce_close()
        if self._server is not None:
            self._server.close()

    async def drain(self, seconds: float) -> bool:
        """Close idle connections, and wait up to `seconds` for busy ones to answer.

        Connections that are left after that are aborted, and False is returned.
        """
        self.stop_listening()
        for connection in tuple(self._connections):
            connection.close_if_idle()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while self._connections and loop.time() < end:
            await asyncio.sleep(0.02)
        finished = not self._connections
        for connection in tuple(self._connections):
            connection.abort()
        return finished

    def add(self, connection: "_Connection") -> None:
        """Register an open connection."""
        self._connections.add(connection)

    def discard(self, connection: "_Connection") -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)


class _Connection(asyncio.Protocol):
    """Connection with its h11 state, the request being read and the handler's task."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.settings.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._refused = False
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._server.add(self)
        if self._server.over_limit:
            self._refuse(503, "too many connections")
            return
        self._start_timer(self._server.settings.idle_seconds)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.discard(self)
        self._stop_timer()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        if self._transport.is_closing() or self._refused:
            return
        if self._h11.our_state is h11.ERROR:
            return
        self._h11.receive_data(data)
        if self._task is None:
            if self._head is None:
                self._start_timer(self._server.settings.header_seconds)
            self._read_events()
        else:
            # Pipelined data stays in h11's buffer. The connection is not read further
            # until the response is sent.
            self._transport.pause_reading()

    def close_if_idle(self) -> None:
        if self._task is None and self._head is None:
            self._transport.close()

    def abort(self) -> None:
        self._transport.abort()

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._head is None and self._h11.trailing_data[0] == b"":
            self._transport.close()
        else:
            self._refuse(408, "request did not arrive in time")

    def _read_events(self) -> None:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_protocol_error(error)
                return
            if event is h11.NEED_DATA:
                self._send_continue()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._head = event
                refusal = _check_head(event, self._server.settings.header_bytes)
                if refusal is not None:
                    self._refuse(*refusal)
                    return
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._server.settings.body_bytes:
                    self._refuse(413, "request body is too large")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._start_handler()
                return

    def _refuse_protocol_error(self, error: h11.RemoteProtocolError) -> None:
        status, detail = error.error_status_hint, str(error)
        if status == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
            detail = _head_too_large(self._server.settings.header_bytes)
        self._refuse(status, detail)

    def _send_continue(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(interim_response))

    def _start_handler(self) -> None:
        self._stop_timer()
        head = self._head
        request = HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            tuple((bytes(name), bytes(value)) for name, value in head.headers),
            bytes(self._body),
        )
        self._body = bytearray()
        self._task = asyncio.get_running_loop().create_task(self._serve(request))

    async def _serve(self, request: HttpRequest) -> None:
        try:
            response = await self._server.handler(request)
            await self._send(response, request.method)
        except IncompleteResponseError:
            # Part of the response is sent already: only a broken connection can tell
            # the caller that the rest is missing.
            self._transport.abort()
            return
        except Exception:
            self._transport.abort()
            raise
        self._finish_exchange()

    def _finish_exchange(self) -> None:
        self._task = None
        self._head = None
        if self._transport.is_closing():
            return
        if self._server.draining or self._h11.our_state is not h11.DONE:
            self._transport.close()
            return
        self._h11.start_next_cycle()
        self._transport.resume_reading()
        self._start_timer(self._server.settings.idle_seconds)
        self._read_events()

    async def _send(self, response: HttpResponse, method: str) -> None:
        headers = list(response.headers)
        bodiless = method == "HEAD" or response.status in BODILESS_STATUSES
        if response.tail is None and not bodiless:
            headers.append((b"content-length", b"%d" % len(response.body)))
        if self._server.draining:
            headers.append((b"connection", b"close"))
        data = self._h11.send(_response_head(response.status, tuple(headers)))
        if not bodiless:
            data += self._h11.send(h11.Data(data=response.body))
        if response.tail is not None:
            self._transport.write(data)
            data = b""
            await self._send_tail(response)
        self._transport.write(data + self._h11.send(h11.EndOfMessage()))
        await self._writable.wait()

    async def _send_tail(self, response: HttpResponse) -> None:
        async for chunk in response.tail:
            self._transport.write(self._h11.send(h11.Data(data=chunk)))
            await self._writable.wait()

    def _refuse(self, status: int, detail: str) -> None:
        """Answer a request that could not be read, and close the connection."""
        self._stop_timer()
        if self._h11.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            response = self._server.refusal_format(status, detail)
            headers: Headers = (
                *response.headers,
                (b"content-length", b"%d" % len(response.body)),
                (b"connection", b"close"),
            )
            data = self._h11.send(_response_head(status, headers))
            data += self._h11.send(h11.Data(data=response.body))
            data += self._h11.send(h11.EndOfMessage())
            self._transport.write(data)
        self._refused = True
        close_lingering(self._transport)


def _check_head(head: h11.Request, max_bytes: int) -> tuple[int, str] | None:
    """Check a request head; return status and detail if it must not be passed on."""
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        # Two recipients may disagree on where the message ends (RFC 9112, section 6.1).
        return 400, "both content-length and transfer-encoding"
    size = sum(len(name) + len(value) for name, value in head.headers)
    if size + len(head.target) > max_bytes:
        return 431, _head_too_large(max_bytes)
    return None


def _head_too_large(max_bytes: int) -> str:
    return f"request head is larger than {max_bytes} bytes"


def _response_head(status: int, headers: Headers) -> h11.Response:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    return h11.Response(status_code=status, headers=list(headers), reason=phrase)
