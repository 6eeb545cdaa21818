"""Lingering close of a connection whose caller may still be sending.

Closing a connection while received bytes are unread resets it, and a reset discards the
answer that the caller has not read yet. So only the sending side is closed after the
answer, and incoming data is read and dropped for a while (RFC 9112, section 9.6).
"""

import asyncio

__all__ = ["LINGER_SECONDS", "close_lingering"]

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
