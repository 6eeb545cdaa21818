"""Reads of the backend server's answers: no answer occupies the event loop."""

from damaskramp.core import ByteBudget, Counters
from damaskramp.platform import PLATFORM_HEADERS
from damaskramp.relay.backend_connection import ServerConnections
from damaskramp.relay.body_source import READ_BYTES
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.read_size import PARTS_PER_READ
from damaskramp.relay.server_answer import Exchange
from damaskramp.relay.server_connection import ServerConnection
from damaskramp.relay.tests.fakes import FakeTransport
from damaskramp.testing import LoopTestCase

HEAD = b"HTTP/1.1 200 OK\r\n%b: q1\r\n" % PLATFORM_HEADERS.request_id
SIZE = 1_000_000


class _Exchange(Exchange):
    def __init__(self):
        self.answer = None

    def head_received(self, answer):
        pass

    def answered(self, answer):
        self.answer = answer

    def body_ended(self, complete):
        pass

    def failed(self, failure):
        raise AssertionError(failure)


class ServerReadsTestCase(LoopTestCase):
    """Guards against answers in chunks of a few bytes, 256 KiB of which take 50 ms."""

    def read_sizes(self, data):
        """Return the sizes of the reads of an answer, and what has been answered."""

        async def scenario():
            names, counters = ReservedNames(PLATFORM_HEADERS), Counters()
            budget = ByteBudget(100_000_000)
            pool = ServerConnections("127.0.0.1:1", names, float, counters, budget)
            connection, exchange = ServerConnection(pool), _Exchange()
            connection.connection_made(FakeTransport())
            connection.send(exchange, b"q1", False, b"", b"")
            sizes, rest = [], memoryview(data)
            while rest:
                buffer = connection.get_buffer(-1)
                size = min(len(buffer), len(rest))
                buffer[:size] = rest[:size]
                connection.buffer_updated(size)
                rest = rest[size:]
                sizes.append(size)
            return sizes, exchange.answer

        return self.run_loop(scenario())

    def test_chunks_of_a_few_bytes_are_read_in_small_steps(self):
        chunk = b"3\r\nxyz\r\n"
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 20_000
        sizes, answer = self.read_sizes(data + b"0\r\n\r\n")
        self.assertLessEqual(sizes[0], 16_384)
        self.assertLessEqual(max(sizes[1:]), (PARTS_PER_READ + 1) * len(chunk))
        self.assertEqual(60_000, len(answer.body))

    def test_large_bodies_are_read_in_large_steps(self):
        data = HEAD + b"Content-Length: %d\r\n\r\n" % SIZE + b"x" * SIZE
        sizes, answer = self.read_sizes(data)
        self.assertEqual(READ_BYTES, max(sizes))
        self.assertLessEqual(len(sizes), 2 + SIZE // READ_BYTES + 1)
        self.assertEqual(SIZE, len(answer.body))

    def test_large_chunks_are_read_in_large_steps(self):
        chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 10 + b"0\r\n\r\n"
        sizes, answer = self.read_sizes(data)
        self.assertLessEqual(len(sizes), 8)
        self.assertEqual(655_360, len(answer.body))
