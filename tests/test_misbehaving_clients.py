"""Groups of misbehaving clients at the callers' address.

Each test guards against one kind of group that ends the node, hangs it, or takes its
memory or descriptors. Each kind is tried on a path with a route and on one without.
"""

import asyncio

from tests.misbehaving import (
    BODY_LIMIT,
    HEADER_LIMIT,
    CrowdTestCase,
    get,
    post,
    send_all,
    short_fields,
    stay,
)
from tests.relay_fleet import field, ok

CALLERS = 8101
LENGTH = f"Content-Length: {BODY_LIMIT}"
CHUNKED = "Transfer-Encoding: chunked"
LARGE_ANSWER = b"x" * 8 * 1024 * 1024


class _CallersCases:
    PATH = ""

    def test_bodies_in_one_piece_that_stop_before_their_end(self):
        async def behaviour(reader, writer, n):
            await send_all(writer, post(self.PATH, LENGTH) + b"x" * (BODY_LIMIT - 10))
            await stay()

        self.misbehave(CALLERS, 60, behaviour)

    def test_bodies_in_small_pieces_that_stop_before_their_end(self):
        async def behaviour(reader, writer, n):
            await send_all(writer, post(self.PATH, LENGTH))
            for _ in range(BODY_LIMIT // 4096 - 1):
                await send_all(writer, b"x" * 4096)
                await asyncio.sleep(0.001)
            await stay()

        self.misbehave(CALLERS, 60, behaviour)

    def test_bodies_in_chunks_of_one_byte_that_stop_before_their_end(self):
        pieces = b"1\r\nx\r\n" * 10_000

        async def behaviour(reader, writer, n):
            await send_all(writer, post(self.PATH, CHUNKED))
            for _ in range(BODY_LIMIT // 10_000 - 1):
                await send_all(writer, pieces)
            await stay()

        self.misbehave(CALLERS, 20, behaviour, seconds=20.0)

    def test_bodies_in_chunks_of_a_few_bytes_that_stop_before_their_end(self):
        pieces = b"3\r\nxyz\r\n" * 10_000

        async def behaviour(reader, writer, n):
            await send_all(writer, post(self.PATH, CHUNKED))
            for _ in range(BODY_LIMIT // 30_000 - 1):
                await send_all(writer, pieces)
            await stay()

        self.misbehave(CALLERS, 20, behaviour, seconds=10.0)

    def test_many_small_bodies_that_stop_before_their_end(self):
        async def behaviour(reader, writer, n):
            size = BODY_LIMIT // 8
            framing = f"Content-Length: {size}"
            await send_all(writer, post(self.PATH, framing) + b"x" * (size - 10))
            await stay()

        self.misbehave(CALLERS, 180, behaviour)

    def test_bodies_far_beyond_the_limit(self):
        async def behaviour(reader, writer, n):
            head = post(self.PATH, f"Content-Length: {1000 * BODY_LIMIT}")
            await send_all(writer, head)
            while True:
                await send_all(writer, b"x" * 65_536)

        self.misbehave(CALLERS, 60, behaviour)

    def test_chunked_bodies_without_end(self):
        async def behaviour(reader, writer, n):
            await send_all(writer, post(self.PATH, CHUNKED))
            while True:
                await send_all(writer, b"10000\r\n" + b"x" * 65_536 + b"\r\n")

        self.misbehave(CALLERS, 60, behaviour)

    def test_trailers_without_end(self):
        async def behaviour(reader, writer, n):
            await send_all(writer, post(self.PATH, CHUNKED) + b"1\r\nx\r\n0\r\n")
            while True:
                await send_all(writer, short_fields(65_536))

        self.misbehave(CALLERS, 40, behaviour)

    def test_pipelined_requests_of_many_short_fields(self):
        fields = short_fields(HEADER_LIMIT - 300)
        requests = b"".join(get(self.PATH, f"q{n}", fields) for n in range(60))

        async def behaviour(reader, writer, n):
            await send_all(writer, requests)
            await stay()

        self.misbehave(CALLERS, 40, behaviour)

    def test_header_sections_of_many_short_fields_that_never_end(self):
        async def behaviour(reader, writer, n):
            head = get(self.PATH, fields=short_fields(HEADER_LIMIT - 300))
            await send_all(writer, head[:-2])
            await stay()

        self.misbehave(CALLERS, 180, behaviour)

    def test_pipelined_requests_whose_answers_are_not_read(self):
        requests = b"".join(get(self.PATH, f"q{n}") for n in range(5000))

        async def behaviour(reader, writer, n):
            while True:
                await send_all(writer, requests)

        self.misbehave(CALLERS, 100, behaviour)

    def test_pipelined_bodies_whose_answers_are_not_read(self):
        body = b"x" * 100_000
        framing = f"Content-Length: {len(body)}"
        request = post(self.PATH, framing) + body

        async def behaviour(reader, writer, n):
            while True:
                await send_all(writer, request)

        self.misbehave(CALLERS, 100, behaviour)

    def test_connections_without_a_request(self):
        async def behaviour(reader, writer, n):
            await stay()

        self.misbehave(CALLERS, 400, behaviour)

    def test_header_sections_sent_very_slowly(self):
        async def behaviour(reader, writer, n):
            for byte in get(self.PATH):
                await send_all(writer, bytes([byte]))
                await asyncio.sleep(0.3)

        self.misbehave(CALLERS, 400, behaviour)

    def test_bodies_sent_very_slowly(self):
        async def behaviour(reader, writer, n):
            await send_all(writer, post(self.PATH, LENGTH) + b"x" * 200_000)
            while True:
                await send_all(writer, b"x")
                await asyncio.sleep(0.3)

        self.misbehave(CALLERS, 300, behaviour)


class TestCallersOfARoute(_CallersCases, CrowdTestCase):
    PATH = "/a/seat"

    def test_large_answers_that_are_not_read(self):
        """Each client has many requests in flight and never reads."""
        requests = b"".join(get("/a/large", f"q{n}") for n in range(20))

        async def behaviour(reader, writer, n):
            await send_all(writer, requests)
            await stay()

        self.misbehave(
            CALLERS, 40, behaviour, large_answers, seconds=6.0, receive_buffer=4096
        )

    def test_large_answers_that_are_read_very_slowly(self):
        async def behaviour(reader, writer, n):
            await send_all(writer, get("/a/large"))
            while await reader.read(1000):
                await asyncio.sleep(0.2)

        self.misbehave(
            CALLERS, 60, behaviour, large_answers, seconds=6.0, receive_buffer=4096
        )


class TestCallersWithoutARoute(_CallersCases, CrowdTestCase):
    PATH = "/nowhere/seat"


def large_answers(request):
    """Answer requests for /a/large with a large body."""
    large = field(request, "x-request-id") != "ok"
    return ok(request, LARGE_ANSWER if large else b"done")
