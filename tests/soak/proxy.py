"""Loopback TCP proxy that disturbs the connections that pass through it."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

from damaskramp.testing import StreamServer

__all__ = ["LinkMode", "Proxy", "reset_connection"]

CHUNK_BYTES = 64 * 1024
TRICKLE_BYTES = 512
"""Bytes that a trickling connection passes on in each interval."""

TRICKLE_INTERVAL_SECONDS = 0.05


class LinkMode(Enum):
    """State of all connections of a proxy."""

    PASS = "pass"
    DELAYED = "delayed"
    TRICKLE = "trickle"
    SILENT = "silent"
    SILENT_TO_TARGET = "silent_to_target"
    SILENT_FROM_TARGET = "silent_from_target"
    REFUSED = "refused"


def reset_connection(writer):
    """End a connection with a reset, as a process that is killed does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Proxy:
    """Proxy of one destination.

    Parameters
    ----------
    listen, target : tuple of str and int
        Host and port to listen on and to connect to.
    """

    def __init__(self, listen, target):
        self._listen = listen
        self._target = target
        self._mode = LinkMode.PASS
        self._delay = 0.0
        self._changed = asyncio.Event()
        self._find_cut = None
        self._cut_ports = set()
        self._writers = {}
        self._server = StreamServer(self._serve, limit=CHUNK_BYTES)

    async def start(self):
        """Listen for connections."""
        await self._server.start(*self._listen, backlog=1024)

    def stop(self):
        """Close the listener and all connections."""
        self.reset()
        self._server.stop()

    def set_mode(self, mode, delay=0.0):
        """Change the state of present and future connections.

        Parameters
        ----------
        delay : float
            Delay in seconds of each chunk of bytes of a delayed connection.
        """
        self._mode, self._delay = mode, delay
        if mode is LinkMode.REFUSED:
            self.reset()
        self._wake()

    def set_cut(self, find_cut):
        """Silence the connections of some clients, and no others.

        Parameters
        ----------
        find_cut : callable or None
            Returns those of a set of client ports whose connections are to be silent;
            None ends the cut.
        """
        self._find_cut = find_cut
        ports = set(self._writers.values())
        self._cut_ports = find_cut(ports) if find_cut is not None else set()
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self):
        """Reset all present connections."""
        for writer in list(self._writers):
            reset_connection(writer)
        self._writers.clear()

    async def _serve(self, reader, writer):
        if self._mode is LinkMode.REFUSED:
            reset_connection(writer)
            return
        port = writer.get_extra_info("peername")[1]
        self._writers[writer] = port
        if self._find_cut is not None:
            self._cut_ports |= self._find_cut({port})
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target, limit=CHUNK_BYTES
            )
        except (OSError, asyncio.CancelledError):
            # The target refuses, or the run ends.
            self._writers.pop(writer, None)
            reset_connection(writer)
            return
        self._writers[far_writer] = port
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, port, LinkMode.SILENT_TO_TARGET),
                self._pump(far_reader, writer, port, LinkMode.SILENT_FROM_TARGET),
            )
        except asyncio.CancelledError:
            # The run ends while connections are open.
            return
        finally:
            for one in (writer, far_writer):
                self._writers.pop(one, None)
                one.close()
            self._cut_ports.discard(port)

    async def _pump(self, reader, writer, port, blocked):
        """Pass bytes on in one direction until it ends."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._pass(data, writer, port, blocked)
            with contextlib.suppress(OSError):
                writer.write_eof()
        except OSError:
            # A reset at one side is a reset at the other.
            reset_connection(writer)

    async def _pass(self, data, writer, port, blocked):
        while self._mode in (LinkMode.SILENT, blocked) or port in self._cut_ports:
            await self._changed.wait()
        if self._mode is LinkMode.DELAYED:
            await asyncio.sleep(self._delay)
        while self._mode is LinkMode.TRICKLE and data:
            writer.write(data[:TRICKLE_BYTES])
            data = data[TRICKLE_BYTES:]
            await asyncio.sleep(TRICKLE_INTERVAL_SECONDS)
        writer.write(data)
        await writer.drain()
