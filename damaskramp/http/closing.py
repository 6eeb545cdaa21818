"""Closing a connection whose caller may still be sending.

A connection that is closed while bytes wait unread is reset, and a reset discards the
answer that the caller has not read yet. So the answer is followed by the end of this
side only, and what still arrives is read and dropped for a while (RFC 9112, 9.6).
"""

import asyncio

__all__ = ["LINGER_SECONDS", "close_lingering"]

LINGER_SECONDS = 1.0
"""Time for which a caller may go on sending: many round trips."""


def close_lingering(transport: asyncio.Transport) -> None:
    """End this side after what was written, and close soon after.

    The protocol must ignore the data that arrives meanwhile, and let its
    ``eof_received`` close the transport.
    """
    if transport.is_closing():
        return
    if not transport.can_write_eof():
        transport.close()
        return
    try:
        transport.write_eof()
    except OSError:
        # The caller has reset the connection; nothing more can be sent.
        transport.close()
        return
    asyncio.get_running_loop().call_later(LINGER_SECONDS, transport.close)
