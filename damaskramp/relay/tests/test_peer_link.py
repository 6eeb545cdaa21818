"""Link to the node of another host."""

import asyncio
import socket

import msgpack

from damaskramp.core import ByteBudget, Counters, Reason
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.message_stream import SILENCE_TIMEOUT_SECONDS
from damaskramp.relay.messages import Call, Kind
from damaskramp.relay.peer_link import LinkState, PeerLink
from damaskramp.testing import LoopTestCase, StreamServer

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


class Outcome:
    """Sink that records what it is told."""

    def __init__(self):
        self.told = []

    def answer_started(self):
        self.told.append("started")

    def answered(self, status, head, body, load):
        self.told.append(status)

    def refused(self, reason, wait, arrived, load):
        self.told.append(reason)

    def failed(self, reason, load):
        self.told.append(reason)


def a_call():
    """Return a call; a constant one would count as a leak in tests of memory."""
    return Call(
        0, "i-1", b"q", b"GET", b"", False, True, 5, 1, 1, False, "r", b"", 7, 0, False
    )


LOAD = (1, 0, 8, 0.1, 0)


class TestUnreadableOutcomes(LoopTestCase):
    """A call whose outcome can't be read ends at once, not at its deadline."""

    BAD = (
        (Kind.ANSWER, 1, 0, b"", b"", *LOAD),
        (Kind.ANSWER, 1, 100, b"", b"", *LOAD),
        (Kind.ANSWER, 1, 600, b"", b"", *LOAD),
        (Kind.ANSWER, 1, "200", b"", b"", *LOAD),
        (Kind.ANSWER, 1, 200, "", b"", *LOAD),
        (Kind.ANSWER, 1, 200, b"", b"", *LOAD[:3], "slow", 0),
        (Kind.ANSWER, 1, 200, b"", b"", *LOAD, *[0] * 40),
        (Kind.ANSWER, 1, 200),
        (Kind.LARGE_ANSWER, 1, 0, b"", 100_000, *LOAD),
        (Kind.REFUSED, 1, 9999, 0.0, False, *LOAD),
        (Kind.REFUSED, 1, 1, "soon", False, *LOAD),
        (Kind.REFUSED, 1, 1, 0.0, False, "busy"),
        (Kind.FAILED, 1, 9999, *LOAD),
    )

    async def outcome_of(self, message):
        arrived = asyncio.Event()

        async def serve(reader, writer):
            await reader.read(READ_SIZE)
            writer.write(msgpack.packb(message))
            await reader.read()
            arrived.set()

        server = StreamServer(serve)
        await server.start(HOST)
        link = PeerLink(
            HOST,
            server.port,
            lambda: 1.0,
            Counters(),
            MemoryQueue(ByteBudget(1 << 20)),
            lambda *fields: None,
            lambda *fields: None,
        )
        link.open()
        sink = Outcome()
        link.call(a_call(), sink)
        async with asyncio.timeout(5.0):
            while not sink.told:
                await asyncio.sleep(0.005)
        link.close()
        server.stop()
        return sink.told

    def test_outcome_that_cannot_be_read_ends_its_call(self):
        for message in self.BAD:
            told = self.run_loop(self.outcome_of(message))
            self.assertEqual([Reason.BACKEND_SERVER_LOST], told, message)

    def test_outcome_that_can_be_read_is_handed_on(self):
        message = (Kind.ANSWER, 1, 599, b"", b"", *LOAD)
        self.assertEqual([599], self.run_loop(self.outcome_of(message)))


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
