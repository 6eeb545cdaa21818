"""Answers that are too large to be buffered whole.

A caller must get the complete answer or an error, never a truncated answer that looks
complete.
"""

from damaskramp.testing import StreamServer
from examples.fleet import HostSpec
from tests.fleets import FleetTestCase, send

MIB = 1024 * 1024
LENGTH = 3 * MIB


class TestLargeAnswers(FleetTestCase):
    HOSTS = [
        HostSpec("desk-1", "z1", "desk"),
        HostSpec("board-1", "z2", "board", external=True),
    ]

    async def _fetch(self, entry: str, sent_bytes: int) -> bytes:
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LENGTH)
            writer.write(b"x" * sent_bytes)
            await writer.drain()

        host, _, port = self.fleet.backend("board-1").rpartition(":")
        server = StreamServer(serve)
        await server.start(host, int(port))
        try:
            answer = await send(self.fleet.http(entry), "/board/ballots", method="POST")
            rest = [chunk async for chunk in answer.tail]
            return answer.body + b"".join(rest)
        finally:
            server.stop()

    def test_large_answer_is_complete(self):
        for entry in ("desk-1", "board-1"):
            body = self.run_loop(self._fetch(entry, LENGTH))
            self.assertEqual(LENGTH, len(body))

    def test_incomplete_large_answer_raises_an_error(self):
        for entry in ("desk-1", "board-1"):
            fetch = self._fetch(entry, LENGTH - MIB // 2)
            self.assertRaises(ConnectionError, self.run_loop, fetch)
