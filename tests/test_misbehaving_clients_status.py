"""Groups of misbehaving clients at the readiness address and the metrics address."""

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


class _StatusCases:
    PORT = 0
    PATH = ""

    def test_pipelined_requests_whose_answers_are_not_read(self):
        requests = get(self.PATH) * 5000

        async def behaviour(reader, writer, n):
            while True:
                await send_all(writer, requests)

        self.misbehave(self.PORT, 60, behaviour)

    def test_pipelined_requests_whose_answers_are_read(self):
        requests = get(self.PATH) * 5000

        async def read(reader):
            while await reader.read(65_536):
                pass

        async def behaviour(reader, writer, n):
            reading = asyncio.ensure_future(read(reader))
            try:
                while True:
                    await send_all(writer, requests)
            finally:
                reading.cancel()

        self.misbehave(self.PORT, 60, behaviour)

    def test_pipelined_requests_of_many_short_fields(self):
        requests = get(self.PATH, fields=short_fields(HEADER_LIMIT - 400)) * 60

        async def behaviour(reader, writer, n):
            while True:
                await send_all(writer, requests)

        self.misbehave(self.PORT, 60, behaviour)

    def test_pipelined_requests_of_an_unknown_path(self):
        requests = get("/nowhere") * 5000

        async def behaviour(reader, writer, n):
            while True:
                await send_all(writer, requests)

        self.misbehave(self.PORT, 60, behaviour)

    def test_header_sections_of_many_short_fields_that_never_end(self):
        async def behaviour(reader, writer, n):
            head = get(self.PATH, fields=short_fields(HEADER_LIMIT - 300))
            await send_all(writer, head[:-2])
            await stay()

        self.misbehave(self.PORT, 180, behaviour)

    def test_bodies_far_beyond_the_limit(self):
        async def behaviour(reader, writer, n):
            head = post(self.PATH, f"Content-Length: {1000 * BODY_LIMIT}")
            await send_all(writer, head)
            while True:
                await send_all(writer, b"x" * 65_536)

        self.misbehave(self.PORT, 60, behaviour)

    def test_bodies_in_chunks_of_one_byte(self):
        pieces = b"1\r\nx\r\n" * 10_000

        async def behaviour(reader, writer, n):
            await send_all(writer, post(self.PATH, "Transfer-Encoding: chunked"))
            while True:
                await send_all(writer, pieces)

        self.misbehave(self.PORT, 60, behaviour)

    def test_bodies_that_stop_before_their_end(self):
        async def behaviour(reader, writer, n):
            head = post(self.PATH, f"Content-Length: {BODY_LIMIT}")
            await send_all(writer, head + b"x" * (BODY_LIMIT - 10))
            await stay()

        self.misbehave(self.PORT, 60, behaviour)

    def test_connections_without_a_request(self):
        async def behaviour(reader, writer, n):
            await stay()

        self.misbehave(self.PORT, 400, behaviour)

    def test_header_sections_sent_very_slowly(self):
        async def behaviour(reader, writer, n):
            for byte in get(self.PATH):
                await send_all(writer, bytes([byte]))
                await asyncio.sleep(0.3)

        self.misbehave(self.PORT, 400, behaviour)


class TestReadinessAddress(_StatusCases, CrowdTestCase):
    PORT = 8103
    PATH = "/v1/ready"


class TestMetricsAddress(_StatusCases, CrowdTestCase):
    PORT = 8104
    PATH = "/metrics"
