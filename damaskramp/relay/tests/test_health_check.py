"""Health checks against small servers on loopback.

A server that sends no end of bytes, breaks off or says nothing must not keep the node
from the next check, nor make it take a cold server for a warm one.
"""

import asyncio

from damaskramp.platform import PLATFORM_HEADERS
from damaskramp.relay.health_check import (
    HealthCheck,
    HealthCheckError,
    ServerUnreachableError,
)
from damaskramp.testing import LoopTestCase, StreamServer

ID_FIELD = PLATFORM_HEADERS.server_id
WARMUP_FIELD = PLATFORM_HEADERS.warmup_ms


def answer(*fields, status=b"200 OK"):
    lines = [b"%b: %b\r\n" % field for field in fields]
    return b"HTTP/1.1 %b\r\n%bContent-Length: 0\r\n\r\n" % (status, b"".join(lines))


class TestHealthCheck(LoopTestCase):
    def check(self, data, pause=0.0, path="/h?full=1"):
        """Return the answer to a check, and the request that the server saw."""
        seen = []

        async def serve(reader, writer):
            seen.append(await reader.readuntil(b"\r\n\r\n"))
            try:
                for piece in data:
                    writer.write(piece)
                    await writer.drain()
                await asyncio.sleep(pause)
            except ConnectionError:
                # The check has read enough.
                return

        async def run():
            server = StreamServer(serve)
            await server.start("127.0.0.1")
            try:
                checks = HealthCheck(f"127.0.0.1:{server.port}", PLATFORM_HEADERS)
                return await checks.run(path), seen[0]
            finally:
                server.stop()

        return self.run_loop(run())

    def test_rest_of_the_warmup_and_the_id_are_read(self):
        data = [answer((ID_FIELD, b"i-7"), (WARMUP_FIELD, b"1250"))]
        found, request = self.check(data)
        self.assertEqual(("i-7", 1.25), (found.server, found.warmup_left))
        self.assertTrue(request.startswith(b"GET /h?full=1 HTTP/1.1\r\nHost: "))

    def test_values_that_do_not_tell_the_warmup(self):
        for value in (b"", b"soon", b"-1", b"1e3", b"nan", b"9" * 30, b"1\xff"):
            found, _ = self.check([answer((WARMUP_FIELD, value))])
            self.assertIsNone(found.warmup_left, value)
        self.assertIsNone(self.check([answer()])[0].warmup_left)

    def test_status_and_informational_answers_do_not_matter(self):
        early = b"HTTP/1.1 103 Early Hints\r\n%b: 9\r\n\r\n" % WARMUP_FIELD
        data = [early, answer((WARMUP_FIELD, b"500.5"), status=b"503 Unavailable")]
        self.assertEqual(0.5005, self.check(data)[0].warmup_left)
        self.assertIsNone(self.check([early, answer()])[0].warmup_left)

    def test_answers_without_a_head_are_errors(self):
        for data in (
            [],
            [b"HTTP/1.1 200 OK\r\nX: "],
            [b"no answer at all\r\n\r\n"],
        ):
            self.assertRaises(HealthCheckError, self.check, data)

    def test_status_that_is_none_ends_the_check_at_once(self):
        """A status below 100 was taken for one of an informational answer."""
        for status in (b"000 Zero", b"101 Switch", b"600 High"):
            error = self.assertRaises(
                HealthCheckError, self.check, [answer(status=status)]
            )
            self.assertIn("answer with status", str(error))

    def test_answer_without_end_is_not_read_for_long(self):
        data = [b"HTTP/1.1 200 OK\r\n", *[b"X: y\r\n" * 100] * 200]
        error = self.assertRaises(HealthCheckError, self.check, data)
        self.assertIn("too large", str(error))

    def test_silent_server_is_an_error(self):
        self.assertRaises(HealthCheckError, self.check, [], pause=5.0)

    def test_closed_port_is_told_apart(self):
        checks = HealthCheck("127.0.0.1:1", PLATFORM_HEADERS)
        self.assertRaises(
            ServerUnreachableError, lambda: self.run_loop(checks.run("/h"))
        )
