"""Ways to close a connection: after what was sent has arrived, or without it.

Closing a connection while received bytes are unread resets it, and a reset discards the
answer that the caller has not read yet. So only the sending side is closed after the
answer, and incoming data is read and dropped for a while (RFC 9112, section 9.6).
"""

import asyncio
import contextlib
import socket
import struct

__all__ = ["LINGER_SECONDS", "close_lingering", "discard_on_close"]

LINGER_SECONDS = 1.0
"""Time for which a caller may continue to send; it covers many round trips."""


def close_lingering(transport: asyncio.Transport) -> None:
    """Close the sending side once pending data is sent, and the connection later.

    The connection is closed `LINGER_SECONDS` later. Until then the protocol must ignore
    the data that arrives, and its ``eof_received`` must let the transport close.
    """
    if transport.is_closing():
        return
    if not transport.can_write_eof():
        transport.close()
        return
    try:
        transport.write_eof()
    except OSError:
        # The caller has reset the connection, so nothing more can be sent.
        transport.close()
        return
    asyncio.get_running_loop().call_later(LINGER_SECONDS, transport.close)


def discard_on_close(transport: asyncio.Transport) -> None:
    """Let the close of a connection reset it, so that unsent bytes are discarded."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        # The connection may have ended already.
        with contextlib.suppress(OSError):
            zero_linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
