"""Answers that a server sends without having been asked."""

import asyncio
import contextlib

from damaskramp.http import HttpClient, HttpRequest, TransportErrorKind
from damaskramp.testing import LoopTestCase, StreamServer

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 5.0


def answer(status, body):
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


REFUSAL = answer(b"503 Full", b"full")


class TestExtraAnswers(LoopTestCase):
    """The copy of an answer must not be taken for that to the next request."""

    def exchange(self, refuse):
        """Return the two answers; the first request is refused by `refuse`."""
        writers = []

        async def serve(reader, writer):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writers.append(writer)
                if len(writers) == 1:
                    await refuse(writer)
                else:
                    writer.write(answer(b"200 OK", b"own"))

        async def run():
            server = StreamServer(serve)
            await server.start(HOST)
            with contextlib.closing(HttpClient(HOST, server.port)) as client:
                got = []
                for _ in range(2):
                    result = await client.request(
                        HttpRequest("GET", "/"), TIMEOUT_SECONDS
                    )
                    got.append((result.ok.status, result.ok.body))
                    await asyncio.sleep(0.1)
            server.stop()
            return got, len({id(writer) for writer in writers})

        return self.run_loop(run())

    def test_copy_that_comes_with_the_answer_ends_the_connection(self):
        async def refuse(writer):
            writer.write(REFUSAL + REFUSAL)

        got, connections = self.exchange(refuse)
        self.assertEqual(([(503, b"full"), (200, b"own")], 2), (got, connections))

    def test_copy_that_comes_while_idle_ends_the_connection(self):
        async def refuse(writer):
            writer.write(REFUSAL)
            await writer.drain()
            await asyncio.sleep(0.03)
            writer.write(REFUSAL)

        got, connections = self.exchange(refuse)
        self.assertEqual(([(503, b"full"), (200, b"own")], 2), (got, connections))

    def test_connection_without_a_copy_is_reused(self):
        async def refuse(writer):
            writer.write(REFUSAL)

        got, connections = self.exchange(refuse)
        self.assertEqual(([(503, b"full"), (200, b"own")], 1), (got, connections))


class TestStatuses(LoopTestCase):
    def test_status_that_is_none_breaks_the_answer(self):
        """Guards against answers with a status outside 100 to 599."""

        async def run(status):
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer(status, b"none"))
                await reader.read()

            server = StreamServer(serve)
            await server.start(HOST)
            with contextlib.closing(HttpClient(HOST, server.port)) as client:
                got = await client.request(HttpRequest("GET", "/"), TIMEOUT_SECONDS)
            server.stop()
            return got.is_error() and got.error.kind

        for status in (b"000 Zero", b"099 Low", b"600 High", b"999 Top"):
            kind = self.run_loop(run(status))
            self.assertIs(TransportErrorKind.BROKEN, kind, status)


LARGE = b"x" * 4096


class TestClosedClient(LoopTestCase):
    def test_connection_whose_answer_ends_after_the_close_is_closed(self):
        """It would be kept for reuse, and nobody would close it any more."""

        async def run():
            ended = asyncio.Event()

            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer(b"200 OK", LARGE))
                await reader.read()
                ended.set()

            server = StreamServer(serve)
            await server.start(HOST)
            client = HttpClient(HOST, server.port, whole_bytes=16)
            result = await client.request(HttpRequest("GET", "/"), TIMEOUT_SECONDS)
            client.close()
            rest = [chunk async for chunk in result.ok.tail]
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await ended.wait()
            finally:
                server.stop()
            return result.ok.body + b"".join(rest)

        self.assertEqual(LARGE, self.run_loop(run()))
