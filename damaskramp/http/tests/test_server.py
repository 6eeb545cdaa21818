"""Tests of the server with slow callers, too many connections and large requests.

A caller that sends slowly or too much must not hold a connection or memory without
limit, and must receive a response that says why its request was refused.
"""

import asyncio

from damaskramp.http import HttpResponse, HttpServer, HttpServerSettings
from damaskramp.testing import LoopTestCase

HOST = "127.0.0.1"
TEST_TIMEOUT_SECONDS = 30.0
BOUNDS = HttpServerSettings(
    connections=2,
    body_bytes=1000,
    header_bytes=2000,
    header_seconds=0.3,
    idle_seconds=0.3,
)


async def _echo(request):
    return HttpResponse(200, (), request.body)


class TestBounds(LoopTestCase):
    def exchange(self, *sent, bounds=BOUNDS):
        """Send data on several connections; return what each receives until closed."""

        async def exchange_all():
            server = HttpServer(bounds, _echo)
            await server.start(HOST, 0)
            port = server.port
            streams = [await asyncio.open_connection(HOST, port) for _ in sent]
            for data, (_, writer) in zip(sent, streams, strict=True):
                writer.write(data)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                received = [await reader.read(-1) for reader, _ in streams]
                # The server must close each connection, as no caller has closed one.
                while server.connection_count:
                    await asyncio.sleep(0.01)
            for _, writer in streams:
                writer.close()
            await server.drain(0.0)
            return received, server.connection_count

        return self.run_loop(exchange_all())

    def test_slow_head_is_answered_408(self):
        (received,), open_connections = self.exchange(b"GET / HTTP/1.1\r\nHost: a\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 408 "), received)
        self.assertEqual(0, open_connections)

    def test_slow_body_is_answered_408(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf"
        (received,), _ = self.exchange(head)
        self.assertTrue(received.startswith(b"HTTP/1.1 408 "), received)

    def test_caller_that_is_still_sending_can_read_the_413(self):
        # Closing the connection with unread bytes would reset it and lose the answer.
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n"
        for _ in range(5):
            (received,), _ = self.exchange(head + b"x" * 4_000_000)
            self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)

    def test_idle_connection_is_closed_without_a_response(self):
        self.assertEqual(([b""], 0), self.exchange(b""))

    def test_connections_beyond_the_limit_are_answered_503(self):
        received, _ = self.exchange(b"", b"", b"")
        self.assertEqual([b"", b""], received[:2])
        self.assertTrue(received[2].startswith(b"HTTP/1.1 503 "), received)

    def test_body_beyond_the_limit_is_answered_413(self):
        for head in (b"Content-Length: 2000\r\n", b"Transfer-Encoding: chunked\r\n"):
            body = b"7d0\r\n" * (b"chunked" in head) + b"x" * 2000
            request = b"POST / HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n" + body
            (received,), _ = self.exchange(request)
            self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)

    def test_pipelined_requests_are_answered_in_order(self):
        post = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        sent = post + b"\r\n1" + post + b"\r\n2" + post + b"Connection: close\r\n\r\n3"
        (received,), _ = self.exchange(sent)
        bodies = [
            part.partition(b"\r\n\r\n")[2] for part in received.split(b"HTTP/1.1")[1:]
        ]
        self.assertEqual([b"1", b"2", b"3"], bodies)
