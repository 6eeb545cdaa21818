"""Planned stops: nothing that was taken is cut, and callers are sent away in time."""

import asyncio

from tests.relay_fleet import RelayTestCase, field, ok, read_answer


async def slow(request):
    await asyncio.sleep(0.3)
    return ok(request)


class TestStop(RelayTestCase):
    def test_planned_stop_cuts_nothing(self):
        async def scenario(fleet):
            statuses = []
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())

            async def caller(n):
                while not stopping.done():
                    try:
                        got = await fleet.ask("/a", n=n)
                    except ConnectionRefusedError:
                        # Readiness has kept callers away for seconds by then.
                        return
                    statuses.append(got[0])

            await asyncio.gather(*(caller(n % 2) for n in range(6)), stopping)
            return set(statuses), stopping.result()

        got = self.play(scenario, ("svc", "svc"), scripts=[slow, slow])
        self.assertEqual(({200}, True), got)

    def test_stopping_node_is_not_ready_but_serves(self):
        async def scenario(fleet):
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            await asyncio.sleep(0)
            got = (await fleet.ask("/a"))[0], fleet.nodes[0].ready
            await stopping
            return got

        self.assertEqual((200, False), self.play(scenario, ("svc", "svc")))

    def test_answer_that_is_read_slowly_is_whole_when_the_process_ends(self):
        """What the caller has not read yet is still in this process."""
        size = 24 * 1024 * 1024

        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(
                b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q1\r\n"
                b"Authorization: Token key-1\r\n\r\n"
            )
            await fleet.until(lambda: fleet.nodes[0]._listener.unsent)
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            head = await reader.readuntil(b"\r\n\r\n")
            body = 0
            # Longer than callers are waited for where nothing is on its way.
            for _ in range(22):
                await asyncio.sleep(0.1)
                body += len(await reader.read(256 * 1024))
            early = stopping.done()
            while chunk := await reader.read(1024 * 1024):
                body += len(chunk)
                if body >= size:
                    break
            return early, int(field(head, "content-length")), body, await stopping

        def large(request):
            return ok(request, b"x" * size)

        got = self.play(scenario, scripts=[large])
        self.assertEqual((False, size, size, True), got)

    def test_open_connections_are_told_to_close_before_they_are_closed(self):
        """Callers go on with their connections until then; none is left unanswered."""

        async def scenario(fleet):
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            left, answered, told = 0, 0, 0

            async def caller(n):
                nonlocal left, answered, told
                while not stopping.done():
                    try:
                        reader, writer = await fleet.connect()
                    except ConnectionError:
                        # Nothing was sent yet.
                        return
                    for number in range(10_000):
                        request = (
                            "GET /a HTTP/1.1\r\nHost: a.example\r\n"
                            f"X-Request-Id: q{n}-{number}\r\n"
                            "Authorization: Token key-1\r\n\r\n"
                        )
                        writer.write(request.encode())
                        try:
                            status, head, _ = await read_answer(reader)
                        except (asyncio.IncompleteReadError, ConnectionError):
                            left += 1
                            break
                        answered += status == 200
                        if field(head, "connection") == "close":
                            told += 1
                            break
                    writer.close()

            await asyncio.gather(*(caller(n) for n in range(8)), stopping)
            return left, answered > 100, told > 0

        got = self.play(scenario, ("svc", "svc"))
        self.assertEqual((0, True, True), got)

    def test_requests_that_wait_on_a_connection_are_answered_first(self):
        async def scenario(fleet):
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            listener = fleet.nodes[0]._listener
            await fleet.until(lambda: listener.closing)
            reader, writer = await fleet.connect()
            for n in range(3):
                writer.write(
                    b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n"
                    b"Authorization: Token key-1\r\n\r\n" % n
                )
            answers = [await read_answer(reader) for _ in range(3)]
            writer.close()
            await stopping
            told = [field(head, "connection") for _, head, _ in answers]
            return [status for status, *_ in answers], told

        got = self.play(scenario, ("svc", "svc"))
        self.assertEqual(([200] * 3, [None, None, "close"]), got)
