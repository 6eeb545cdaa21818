"""Slow callers, too many of them, and requests beyond the bounds."""

import asyncio

from damaskramp.http import HttpResponse, HttpServer, HttpServerSettings
from damaskramp.testing import LoopTestCase

HOST = "127.0.0.1"
LONGEST_SECONDS = 30.0
BOUNDS = HttpServerSettings(
    connections=2,
    body_bytes=1000,
    header_bytes=2000,
    header_seconds=0.3,
    idle_seconds=0.3,
)


async def _answer(request):
    return HttpResponse(200, (), request.body)


class TestBounds(LoopTestCase):
    def talk(self, *sent, bounds=BOUNDS):
        """What each of several connections gets until it is closed."""

        async def run():
            server = HttpServer(bounds, _answer)
            await server.start(HOST, 0)
            port = server.port
            pairs = [await asyncio.open_connection(HOST, port) for _ in sent]
            for data, (_, writer) in zip(sent, pairs, strict=True):
                writer.write(data)
            async with asyncio.timeout(LONGEST_SECONDS):
                got = [await reader.read(-1) for reader, _ in pairs]
                # The server ends each by itself, though no caller has closed yet.
                while server.connection_count:
                    await asyncio.sleep(0.01)
            for _, writer in pairs:
                writer.close()
            await server.drain(0.0)
            return got, server.connection_count

        return self.run_loop(run())

    def test_slow_head_is_answered_408(self):
        (got,), open_connections = self.talk(b"GET / HTTP/1.1\r\nHost: a\r\n")
        self.assertTrue(got.startswith(b"HTTP/1.1 408 "), got)
        self.assertEqual(0, open_connections)

    def test_slow_body_is_answered_408(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf"
        (got,), _ = self.talk(head)
        self.assertTrue(got.startswith(b"HTTP/1.1 408 "), got)

    def test_caller_that_has_sent_too_much_can_read_its_answer(self):
        # Closing with bytes unread would reset the connection and lose the answer.
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n"
        for _ in range(5):
            (got,), _ = self.talk(head + b"x" * 4_000_000)
            self.assertTrue(got.startswith(b"HTTP/1.1 413 "), got)

    def test_idle_connection_is_closed_without_a_word(self):
        self.assertEqual(([b""], 0), self.talk(b""))

    def test_connections_beyond_the_limit_are_answered_503(self):
        got, _ = self.talk(b"", b"", b"")
        self.assertEqual([b"", b""], got[:2])
        self.assertTrue(got[2].startswith(b"HTTP/1.1 503 "), got)

    def test_body_beyond_the_limit_is_answered_413(self):
        for head in (b"Content-Length: 2000\r\n", b"Transfer-Encoding: chunked\r\n"):
            body = b"7d0\r\n" * (b"chunked" in head) + b"x" * 2000
            request = b"POST / HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n" + body
            (got,), _ = self.talk(request)
            self.assertTrue(got.startswith(b"HTTP/1.1 413 "), got)

    def test_requests_in_a_row_are_answered_in_order(self):
        post = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        sent = post + b"\r\n1" + post + b"\r\n2" + post + b"Connection: close\r\n\r\n3"
        (got,), _ = self.talk(sent)
        bodies = [part.partition(b"\r\n\r\n")[2] for part in got.split(b"HTTP/1.1")[1:]]
        self.assertEqual([b"1", b"2", b"3"], bodies)
