"""Protocol for a stream of messages between two nodes."""

import asyncio
import logging
import socket

import msgpack

__all__ = ["SILENCE_TIMEOUT_SECONDS", "MessageStream", "set_user_timeout"]

LOGGER = logging.getLogger(__name__)

SILENCE_TIMEOUT_SECONDS = 0.6
"""Silence, in seconds, after which a link with unanswered messages counts as broken:
several round trips and the time that a busy node may take for one turn of its loop."""

MAX_MESSAGE_BYTES = 80 * 1024 * 1024
"""Largest message, in bytes: the largest request body, with room for its head."""


class MessageStream(asyncio.Protocol):
    """Message stream that sends the messages of one loop iteration in one write."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        self._pack = msgpack.Packer().pack

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and send the messages queued so far."""
        self._transport = transport
        set_user_timeout(transport)
        if self._out:
            self._flush()

    def data_received(self, data: bytes) -> None:
        """Unpack messages and hand each on; drop the link on unreadable data."""
        try:
            self._unpacker.feed(data)
            for message in self._unpacker:
                self.received(message)
        except Exception as error:
            # Bad data from a peer may break this link, but nothing else.
            LOGGER.warning("unreadable message", extra={"reason": repr(error)})
            if self._transport is not None:
                self._transport.abort()

    def received(self, message: list) -> None:
        """Process one message."""
        raise NotImplementedError

    def send(self, message: tuple) -> None:
        """Send a message together with the others of this loop iteration."""
        if not self._out and self._transport is not None:
            asyncio.get_running_loop().call_soon(self._flush)
        self._out.append(self._pack(message))

    def _flush(self) -> None:
        if self._transport is not None and self._out:
            self._transport.write(b"".join(self._out))
            self._out.clear()


def set_user_timeout(transport: asyncio.Transport) -> None:
    """Set a kernel timeout for a connection whose data stays unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        milliseconds = int(2 * SILENCE_TIMEOUT_SECONDS * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
