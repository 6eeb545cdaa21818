"""Link to the node of another host."""

import asyncio
import socket

from damaskramp.core import ByteBudget, Counters
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.message_stream import SILENCE_TIMEOUT_SECONDS
from damaskramp.relay.peer_link import LinkState, PeerLink
from damaskramp.testing import LoopTestCase

HOST = "127.0.0.1"
READ_SIZE = 1 << 20
CHECK_SECONDS = 0.1
CHECKS = int(2 * SILENCE_TIMEOUT_SECONDS / CHECK_SECONDS)


async def _read_to_end(sock):
    """Read all that still arrives; return how the connection ends."""
    loop = asyncio.get_running_loop()
    while True:
        try:
            if not await loop.sock_recv(sock, READ_SIZE):
                return "end of stream"
        except ConnectionResetError:
            return "reset"


class TestSilentLink(LoopTestCase):
    def test_bytes_that_have_not_arrived_are_dropped_with_a_silent_link(self):
        """Guards against calls that run seconds after their callers got an answer.

        While packets are lost, TCP keeps what was sent before the close and sends it
        again; the other node ran such calls six seconds later.
        """

        async def scenario():
            loop = asyncio.get_running_loop()
            listening = socket.create_server((HOST, 0))
            listening.setblocking(False)
            now = 1.0
            link = PeerLink(
                HOST,
                listening.getsockname()[1],
                lambda: now,
                Counters(),
                MemoryQueue(ByteBudget(0)),
                lambda *fields: None,
                lambda *fields: None,
            )
            link.open()
            accepted, _ = await loop.sock_accept(listening)
            while link.state is not LinkState.UP:
                await asyncio.sleep(0.01)
            link.ping("host")
            await asyncio.sleep(0.01)
            for _ in range(CHECKS):
                now += CHECK_SECONDS
                link.check()
            self.assertIs(LinkState.DOWN, link.state)
            try:
                return await asyncio.wait_for(_read_to_end(accepted), 5.0)
            finally:
                accepted.close()
                listening.close()

        self.assertEqual("reset", self.run_loop(scenario()))
