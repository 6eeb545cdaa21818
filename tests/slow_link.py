"""Stand-in for a slow network between two nodes of a relay fleet."""

import asyncio
import contextlib
import socket
import time

from damaskramp.testing import StreamServer

BUFFER_BYTES = 32 * 1024
"""Socket buffers of the stand-in; large ones would hide the limit of the rate."""

PIECE_BYTES = 16 * 1024

BURST_SECONDS = 0.02
"""Time, in seconds, by which the stand-in may catch up when it was held up."""


class SlowLink:
    """Proxy in front of a node's port for other nodes, with a limited rate.

    Attributes
    ----------
    rate : float
        Bytes per second in each direction of each connection.
    frozen : bool
        Whether nothing is passed on, as if the network were partitioned.
    passed_up, passed_down : int
        Bytes passed on to the node and from it.
    """

    def __init__(self, rate):
        self.rate = rate
        self.frozen = False
        self.passed_up = self.passed_down = 0
        self._server = StreamServer(self._serve, limit=PIECE_BYTES)
        self._writers = []
        self._target = None

    async def start(self, host, port, target):
        """Listen at an address and pass connections on to `target`."""
        self._target = target
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.bind((host, port))
        await self._server.start(sock=sock)

    async def stop(self):
        self.cut()
        self._server.stop()

    def cut(self):
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self._target)
        there, back = await asyncio.open_connection(sock=sock, limit=PIECE_BYTES)
        self._writers += (writer, back)
        for one in (writer, back):
            one.transport.set_write_buffer_limits(PIECE_BYTES)
        await asyncio.gather(
            self._pass(reader, back, "passed_up"),
            self._pass(there, writer, "passed_down"),
        )

    async def _pass(self, reader, writer, counter):
        due = time.monotonic()
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(PIECE_BYTES):
                while self.frozen:
                    await asyncio.sleep(0.02)
                due = max(due, time.monotonic() - BURST_SECONDS)
                due += len(data) / self.rate
                await asyncio.sleep(due - time.monotonic())
                writer.write(data)
                await writer.drain()
                setattr(self, counter, getattr(self, counter) + len(data))
        writer.close()


@contextlib.asynccontextmanager
async def slow_link(fleet, rate, n=1):
    """Put a slow network in front of node `n` of a fleet, and use it for its server."""
    host, link = fleet.host(n + 100), SlowLink(rate)
    await link.start(host, 8102, (fleet.host(n), 8102))
    address = f"{host}:8105"
    fleet.list_server(n, address=address, sequence=2)
    directory = fleet.nodes[0]._fleet_view.directory
    await fleet.until(lambda: any(s.host == host for s in directory.servers))
    try:
        yield link
    finally:
        await link.stop()
