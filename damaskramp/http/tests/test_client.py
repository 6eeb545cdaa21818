"""Answers that a server sends without having been asked."""

import asyncio
import contextlib

from damaskramp.http import HttpClient, HttpRequest
from damaskramp.testing import LoopTestCase

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
            with contextlib.closing(writer):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writers.append(writer)
                    if len(writers) == 1:
                        await refuse(writer)
                    else:
                        writer.write(answer(b"200 OK", b"own"))

        async def run():
            server = await asyncio.start_server(serve, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            with contextlib.closing(HttpClient(HOST, port)) as client:
                got = []
                for _ in range(2):
                    result = await client.request(
                        HttpRequest("GET", "/"), TIMEOUT_SECONDS
                    )
                    got.append((result.ok.status, result.ok.body))
                    await asyncio.sleep(0.1)
            server.close()
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
