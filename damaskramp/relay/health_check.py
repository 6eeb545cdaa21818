"""Health checks of the backend server on this host, each on a connection of its own."""

import asyncio
import contextlib
import re

import httptools

from damaskramp.dispatch import HealthAnswer
from damaskramp.fleet import ServerId
from damaskramp.http import is_status
from damaskramp.relay.answer_reader import SWITCHING_PROTOCOLS
from damaskramp.relay.headers import HeaderNames

__all__ = ["HealthCheck", "HealthCheckError", "ServerUnreachableError"]

TIMEOUT_SECONDS = 1.0
"""Time in which a server on the same host must answer, in seconds."""

MAX_ANSWER_BYTES = 16 * 1024
"""Most bytes that are read of an answer; only its head is needed."""

_DECIMAL_NUMBER = re.compile(rb"\d{1,8}(\.\d{0,9})?")
"""Milliseconds of a warm-up; eight digits make a day."""


class HealthCheckError(Exception):
    """The server did not send the head of an answer."""


class ServerUnreachableError(HealthCheckError):
    """No connection to the server could be opened."""


class HealthCheck:
    """Health check of the backend server at an address.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the server.
    """

    def __init__(self, address: str, names: HeaderNames) -> None:
        self._address = address
        self._server_id_field = names.server_id.lower()
        self._warmup_field = names.warmup_ms.lower()

    async def run(self, path: str) -> HealthAnswer:
        """Make one check and return what the server says of its warm-up.

        Raises
        ------
        ServerUnreachableError
            If no connection can be opened.
        HealthCheckError
            If the server sends no head of an answer in time.
        """
        host, _, port = self._address.rpartition(":")
        request = (
            f"GET {path} HTTP/1.1\r\nHost: {self._address}\r\nConnection: close\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        protocol = _HealthProtocol(request.encode(), loop.create_future())
        transport = None
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                transport, _ = await loop.create_connection(
                    lambda: protocol, host, int(port)
                )
                headers = await protocol.headers
        except (OSError, TimeoutError) as error:
            if transport is None:
                raise ServerUnreachableError(repr(error)) from error
            raise HealthCheckError(repr(error)) from error
        finally:
            if transport is not None:
                transport.abort()
        return self._read(headers)

    def _read(self, headers: dict[bytes, bytes]) -> HealthAnswer:
        server = headers.get(self._server_id_field, b"").decode("latin-1")
        left = headers.get(self._warmup_field, b"")
        readable = _DECIMAL_NUMBER.fullmatch(left) is not None
        return HealthAnswer(ServerId(server), float(left) / 1000 if readable else None)


class _HealthProtocol(asyncio.Protocol):
    def __init__(
        self, request: bytes, headers: "asyncio.Future[dict[bytes, bytes]]"
    ) -> None:
        self.headers = headers
        self._request = request
        self._received = 0
        self._fields: dict[bytes, bytes] = {}
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._received += len(data)
        with contextlib.suppress(httptools.HttpParserUpgrade):
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError as error:
                self._fail(repr(error))
        if self._received > MAX_ANSWER_BYTES:
            self._fail("answer too large")

    def connection_lost(self, error: Exception | None) -> None:
        self._fail(repr(error))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if not is_status(status) or status == SWITCHING_PROTOCOLS:
            self._fail(f"answer with status {status}")
        elif status < 200:
            self._fields.clear()
        elif not self.headers.done():
            self.headers.set_result(self._fields)

    def _fail(self, cause: str) -> None:
        if not self.headers.done():
            self.headers.set_exception(ConnectionError(cause))
