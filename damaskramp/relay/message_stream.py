"""Protocol for a stream of messages between two nodes."""

import asyncio
import fcntl
import logging
import socket
import struct
import termios

import msgpack

from damaskramp.core import ByteBudget
from damaskramp.relay.messages import Kind

__all__ = ["SILENCE_TIMEOUT_SECONDS", "MessageStream", "set_user_timeout"]

LOGGER = logging.getLogger(__name__)

SILENCE_TIMEOUT_SECONDS = 0.6
"""Time, in seconds, without any bytes moving after which a link with unanswered
messages counts as broken: several round trips and the time that a busy node may take
for one turn of its loop."""

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest message, in bytes. Bodies come in fragments; the largest messages are packed
documents, whose values have 1 MB in the platform's store before compression."""

BUFFER_BYTES = 16 * 1024
"""First size of the buffer of a link, in bytes: some fifty calls or answers. Received
bytes move through the whole buffer, so all of it is resident on each link after a
while, and a node has some hundred links. It grows for larger messages and is dropped
after them. The unpacker's own default is 1 MB."""

FREE_PARTIAL_BYTES = 80 * 1024
"""Unprocessed bytes that need no reservation: those of a fragment and more."""

MAX_LOGGED_CHARACTERS = 300
"""Length of a logged reason, which may quote a message."""

MAX_GATHERED = 256
"""Number of messages that are gathered for one write. Each costs some 70 bytes more
than it holds until it is written."""

BUFFER_FACTOR = 2
"""Memory of the buffer of an incomplete message, as a multiple of its bytes; the buffer
doubles as it grows."""

FRAGMENT_PREFIX = struct.Struct(">BBBIBI")
"""Head of a fragment in msgpack: array of 3, kind, number as uint 32, bin 32."""


_pack = msgpack.Packer().pack
"""Packs a message for any link; each packer has a buffer as large as its messages."""


class MessageStream(asyncio.Protocol):
    """Message stream that sends the messages of one loop iteration in one write.

    Parameters
    ----------
    partial_memory : ByteBudget
        Budget for messages that have not arrived completely.
    """

    def __init__(self, partial_memory: ByteBudget) -> None:
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes | memoryview] = []
        self._unpacker: msgpack.Unpacker | None = _new_unpacker()
        self._is_held_back = False
        self._partial_memory = partial_memory
        self._partial_reserved = 0
        self._fed = self._handed_on = 0
        self._pending = 0
        self._has_grown = False
        self._written = 0
        self._mark_next = False
        self._marked = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and send the messages queued so far."""
        self._transport = transport
        set_user_timeout(transport)
        if self._out:
            self._flush()

    def data_received(self, data: bytes) -> None:
        """Unpack messages and hand each on; drop the link on unreadable data."""
        if self._unpacker is None:
            # The link has been dropped, and its last bytes were on their way.
            return
        self._fed += len(data)
        self._has_grown |= self._pending + len(data) > BUFFER_BYTES
        try:
            self._unpacker.feed(data)
        except Exception as error:
            self._drop_unreadable(error)
            return
        self._process()

    def _process(self) -> None:
        """Hand on the messages that are complete."""
        try:
            while not self._is_held_back and self._unpacker is not None:
                message = next(self._unpacker, None)
                if message is None:
                    break
                self._handed_on = self._unpacker.tell()
                self.received(message)
            if self._unpacker is not None:
                self._reserve_partial()
        except Exception as error:
            self._drop_unreadable(error)

    def _drop_unreadable(self, error: Exception) -> None:
        # Bad data from a peer may break this link, but nothing else.
        reason = repr(error)[:MAX_LOGGED_CHARACTERS]
        LOGGER.warning("unreadable message", extra={"reason": reason})
        if self._transport is not None:
            self._transport.abort()

    def received(self, message: list) -> None:
        """Process one message."""
        raise NotImplementedError

    def drop_input(self) -> None:
        """Release what has arrived of a message that will never be complete."""
        self._unpacker = None
        self._release_partial()

    def _release_partial(self) -> None:
        if self._partial_reserved:
            self._partial_memory.release(self._partial_reserved)
            self._partial_reserved = 0

    def _reserve_partial(self) -> None:
        """Reserve memory for an incomplete message, or drop the link without room."""
        # The unpacker counts the first bytes of an incomplete message as unpacked.
        pending = self._pending = self._fed - self._handed_on
        if self._has_grown and not pending:
            self._unpacker, self._fed, self._handed_on = _new_unpacker(), 0, 0
            self._has_grown = False
        needed = BUFFER_FACTOR * pending if pending > FREE_PARTIAL_BYTES else 0
        if needed == self._partial_reserved:
            return
        self._release_partial()
        if self._partial_memory.reserve(needed):
            self._partial_reserved = needed
            return
        LOGGER.warning("no memory for a message", extra={"bytes": pending})
        self.drop_input()
        if self._transport is not None:
            self._transport.abort()

    def send(self, message: tuple) -> None:
        """Send a message together with the others of this loop iteration."""
        if not self._out and self._transport is not None:
            asyncio.get_running_loop().call_soon(self._flush)
        self._out.append(_pack(message))
        if len(self._out) >= MAX_GATHERED:
            self._flush()

    def send_fragment(self, number: int, data: bytes | memoryview) -> None:
        """Send a part of a body, without copying it into a message of its own."""
        if not self._out and self._transport is not None:
            asyncio.get_running_loop().call_soon(self._flush)
        prefix = FRAGMENT_PREFIX.pack(
            0x93, Kind.FRAGMENT, 0xCE, number, 0xC6, len(data)
        )
        self._out += (prefix, data)

    def mark_position(self) -> None:
        """Mark the end of the messages of this loop iteration."""
        self._mark_next = True

    @property
    def has_undelivered(self) -> bool:
        """Whether the other host has not received all bytes up to the mark."""
        if self._transport is None:
            return False
        return self._mark_next or self.delivered_bytes() < self._marked

    def delivered_bytes(self) -> int:
        """Position in the stream up to which the other host has received bytes."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return self._written
        held = transport.get_write_buffer_size() + _unacknowledged_bytes(transport)
        return self._written - held

    def _flush(self) -> None:
        if self._transport is not None and self._out:
            data = b"".join(self._out)
            self._written += len(data)
            self._transport.write(data)
            self._out.clear()
            if self._mark_next:
                self._mark_next = False
                self._marked = self._written


def _new_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(read_size=BUFFER_BYTES, max_buffer_size=MAX_MESSAGE_BYTES)


def set_user_timeout(transport: asyncio.Transport) -> None:
    """Set a kernel timeout for a connection whose data stays unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        milliseconds = int(2 * SILENCE_TIMEOUT_SECONDS * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def _unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Bytes that the kernel holds because the other host has not acknowledged them."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0")
    except OSError:
        return 0
    return struct.unpack("i", answer)[0]
