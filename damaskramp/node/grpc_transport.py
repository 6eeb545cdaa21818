"""gRPC channel and server that write once in each turn of the loop.

grpclib hands headers, message and trailers to the transport one by one, and each
becomes a system call and a segment of its own. Here they are gathered until the
loop comes round.
"""

import asyncio

from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server

__all__ = ["CoalescingChannel", "CoalescingServer"]


class CoalescingTransport:
    """Transport that gathers what is written in one turn of the loop.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport that it writes to.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._pending: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Write `data` before the loop's next turn."""
        if not self._pending:
            self._loop.call_soon(self.flush)
        self._pending.append(data)

    def flush(self) -> None:
        """Write what was gathered."""
        if self._pending:
            data = b"".join(self._pending)
            self._pending.clear()
            self._transport.write(data)

    def close(self) -> None:
        """Write what was gathered, then close."""
        self.flush()
        self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()

    def is_closing(self) -> bool:
        """Whether the transport closes or is closed."""
        return self._transport.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Information on the transport."""
        return self._transport.get_extra_info(name, default)


class CoalescingProtocol(H2Protocol):
    """HTTP/2 protocol on a gathering transport."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport."""
        super().connection_made(CoalescingTransport(transport))


def _coalescing(protocol: H2Protocol) -> CoalescingProtocol:
    return CoalescingProtocol(protocol.handler, protocol.config, protocol.h2_config)


class CoalescingChannel(Channel):
    """Client side."""

    def _protocol_factory(self) -> H2Protocol:
        return _coalescing(super()._protocol_factory())


class CoalescingServer(Server):
    """Server side."""

    def _protocol_factory(self) -> H2Protocol:
        return _coalescing(super()._protocol_factory())
