"""Malformed requests at every port: the node must keep serving and free its memory."""

import asyncio
import random

from tests.relay_fleet import RelayTestCase

REQUEST = (
    b"POST /a?x=1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q1\r\n"
    b"X-Timeout-Ms: 500\r\nAuthorization: Token key-1\r\nContent-Length: 5\r\n\r\nhello"
)
MALFORMED_REQUESTS = [
    b"\0",
    b"\xff" * 40,
    b"GET / HTTP/1.1\r\n\r\n",
    b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET http://[::1 HTTP/1.1\r\nHost: a.example\r\n\r\n",
    b"CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n",
    b"OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n",
    b"GET /a HTTP/1.1\r\nHost: a.example\r\n"
    b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\n",
    REQUEST.replace(b"Content-Length: 5", b"Content-Length: -5"),
    REQUEST.replace(b"Content-Length: 5", b"Content-Length: 5\r\nContent-Length: 6"),
    REQUEST.replace(b"Content-Length: 5", b"Content-Length: 99999999999999999999999"),
    REQUEST.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
    + b"fffffffffffffffff\r\n",
    REQUEST.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked, gzip"),
    REQUEST.replace(
        b"Content-Length: 5", b"Content-Length: 5\r\nTransfer-Encoding: chunked"
    ),
    REQUEST.replace(b"X-Timeout-Ms: 500", b"X-Timeout-Ms: 0"),
    REQUEST.replace(b"X-Timeout-Ms: 500", "X-Timeout-Ms: \u0663".encode()),
    REQUEST.replace(b"X-Timeout-Ms: 500", b"X-Timeout-Ms: " + b"9" * 400),
    REQUEST.replace(b"Token key-1", b"Token \xff\xfe"),
    REQUEST.replace(b"a.example", b"\xff.example"),
    REQUEST.replace(b"/a?x=1", b"/\xff\xfe%"),
]


def mutate_request(rng):
    """Return the request with some bytes changed, deleted or duplicated."""
    data = bytearray(REQUEST)
    for _ in range(rng.randrange(1, 6)):
        at = rng.randrange(len(data))
        change = rng.randrange(3)
        if change == 0:
            data[at] = rng.randrange(256)
        elif change == 1:
            del data[at : at + rng.randrange(1, 9)]
        else:
            data[at:at] = data[at : at + rng.randrange(1, 40)]
    return bytes(data)


class TestMalformedInput(RelayTestCase):
    PORTS = {"callers": 8101, "peers": 8102, "readiness": 8103, "metrics": 8104}

    def test_node_keeps_serving(self):
        rng = random.Random(20)
        inputs = MALFORMED_REQUESTS + [mutate_request(rng) for _ in range(150)]

        async def send(fleet, port, data):
            reader, writer = await asyncio.open_connection(fleet.host(0), port)
            try:
                writer.write(data)
                async with asyncio.timeout(0.02):
                    await reader.read(1000)
            except (TimeoutError, ConnectionError):
                pass
            finally:
                writer.close()

        async def scenario(fleet):
            for data in inputs:
                await asyncio.gather(
                    *(send(fleet, port, data) for port in self.PORTS.values())
                )
            node = fleet.nodes[0]
            got = await fleet.ask("/a", request_id="last")
            await fleet.until(lambda: not node._listener.connections)
            held = node._listener._memory.bodies.share.used, node._executor._memory.used
            ended_tasks = [task for task in node._tasks if task.done()]
            return got[0], held, ended_tasks

        self.assertEqual((200, (0, 0), []), self.run_scenario(scenario))

    def test_unexpected_error_is_answered_and_affects_no_other_request(self):
        async def scenario(fleet):
            node = fleet.nodes[0]
            handle = node._listener.context.handler.handle

            def fail(request):
                if request.path == "/bad":
                    raise RuntimeError("raised by the test")
                handle(request)

            node._listener.context.handler.handle = fail
            bad = await fleet.ask("/bad")
            return bad[0], b"unknown" in bad[2], (await fleet.ask("/a"))[0]

        self.assertEqual((502, True, 200), self.run_scenario(scenario))

    def test_upgrade_is_ignored_and_answered_once(self):
        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(
                b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q1\r\n"
                b"Authorization: Token key-1\r\n"
                b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\nmore bytes"
            )
            async with asyncio.timeout(5.0):
                answer = await reader.read()
            writer.close()
            return answer.count(b"HTTP/1.1 "), answer.startswith(b"HTTP/1.1 200")

        self.assertEqual((1, True), self.run_scenario(scenario))
