"""Connection that carries a stream of messages between two nodes."""

import asyncio
import logging
import socket

import msgpack

__all__ = ["SILENCE_TIMEOUT_SECONDS", "MessageStream", "set_user_timeout"]

LOGGER = logging.getLogger(__name__)

SILENCE_TIMEOUT_SECONDS = 0.6
"""Silence after which a link with open questions is broken. Several round trips and
the time that a busy node may take for one turn of its loop."""

MAX_MESSAGE_BYTES = 80 * 1024 * 1024
"""Largest message: the largest body of a request, with room for its head."""


class MessageStream(asyncio.Protocol):
    """Stream of messages with writes gathered by turn of the loop."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        self._pack = msgpack.Packer().pack

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the transport; send what has gathered."""
        self._transport = transport
        set_user_timeout(transport)
        if self._out:
            self._flush()

    def data_received(self, data: bytes) -> None:
        """Take messages."""
        try:
            self._unpacker.feed(data)
            for message in self._unpacker:
                self.received(message)
        except Exception as error:
            # Whatever a peer sends costs this link and nothing else.
            LOGGER.warning("unreadable message", extra={"reason": repr(error)})
            if self._transport is not None:
                self._transport.abort()

    def received(self, message: list) -> None:
        """Take one message."""
        raise NotImplementedError

    def send(self, message: tuple) -> None:
        """Send a message with this turn's others."""
        if not self._out and self._transport is not None:
            asyncio.get_running_loop().call_soon(self._flush)
        self._out.append(self._pack(message))

    def _flush(self) -> None:
        if self._transport is not None and self._out:
            self._transport.write(b"".join(self._out))
            self._out.clear()


def set_user_timeout(transport: asyncio.Transport) -> None:
    """Have the kernel break a connection whose bytes stay unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        milliseconds = int(2 * SILENCE_TIMEOUT_SECONDS * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
