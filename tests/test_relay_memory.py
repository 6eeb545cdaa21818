"""Memory of callers in a node: what is kept of a request, and who waits for whom."""

import asyncio
import time

from tests.relay_fleet import (
    CLUBS,
    RelayTestCase,
    configuration,
    field,
    ok,
    read_answer,
    request_bytes,
    route,
)

MIB = 1024 * 1024


def reads_body(node):
    """Return whether the head of the small request has arrived without its body."""
    requests = [one._reader.request for one in node._listener.connections]
    return any(one is not None and one.request_id == b"small" for one in requests)


class TestMemory(RelayTestCase):
    def test_trailers_replace_no_fields_of_the_head(self):
        """A trailer must not change the key, the host or the id of a request."""

        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q1\r\n"
                b"Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"4\r\nbody\r\n0\r\nX-Request-Id: q2\r\nHost: other\r\n"
                b"Authorization: Token wrong\r\n\r\n"
            )
            head = await reader.readuntil(b"\r\n\r\n")
            return head.split()[1], fleet.servers[0].seen[0]

        status, seen = self.run_scenario(scenario)
        self.assertEqual((b"200", "q1"), (status, field(seen, "x-request-id")))
        self.assertNotIn(b"other", seen)
        self.assertTrue(seen.endswith(b"\r\n\r\nbody"), seen)

    def test_small_body_does_not_wait_behind_large_ones(self):
        async def scenario(fleet):
            memory = fleet.nodes[0]._listener._memory.bodies
            memory.share.reserve_unchecked(memory.share.limit)
            large = asyncio.ensure_future(
                fleet.ask("/a", method="POST", body=b"x" * MIB, request_id="large")
            )
            await fleet.until(lambda: memory.waiters)
            reader, writer = await fleet.connect()
            body = b"seat=12"
            request = request_bytes("/a", "POST", body=body, request_id="small")
            writer.write(request.removesuffix(body))
            # A body that comes in one read with its head is taken in any case.
            await fleet.until(lambda: reads_body(fleet.nodes[0]))
            writer.write(body)
            small = await read_answer(reader)
            waits = not large.done()
            memory.release(memory.share.limit)
            return small[0], waits, (await large)[0]

        config = configuration(1, [route("svc", "/", kind="upload")], CLUBS)
        config["limits"]["max-body-bytes"] = 8 * MIB
        self.assertEqual((200, True, 200), self.run_scenario(scenario, config=config))

    def test_everything_is_released_when_callers_have_gone(self):
        """Bytes that stay reserved would shrink the node until it is restarted."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            starts = (
                b"POST /a HTTP/1.1\r\nHost: a.example\r\n"
                b"Content-Length: 5000\r\n\r\nxx",
                b"GET /a HTTP/1.1\r\nHost: a.example\r\n" + b"a:b\r\n" * 500,
                request_bytes("/a") * 30,
            )
            writers = []
            for start in starts * 3:
                _, writer = await fleet.connect()
                writer.write(start)
                writers.append(writer)
            account = node._parts.budgets.memory
            await fleet.until(lambda: account.used > 0)
            await asyncio.sleep(0.05)
            for writer in writers:
                writer.close()
            await fleet.until(lambda: not node._listener.connections)
            await fleet.until(lambda: not node._executor.running)
            await asyncio.sleep(0.05)
            return account.used, node._parts.budgets.descriptors.used

        async def slow(request):
            await asyncio.sleep(0.2)
            return ok(request)

        self.assertEqual((0, 0), self.run_scenario(scenario, scripts=[slow]))

    def test_large_answer_read_slowly_but_steadily_is_delivered(self):
        """Reading takes longer than callers may stall; there is progress all along."""
        size = 24 * MIB

        async def scenario(fleet):
            offset = [0.0]
            listener = fleet.nodes[0]._listener
            listener.context.clock = lambda: time.monotonic() + offset[0]
            reader, writer = await fleet.connect()
            writer.write(request_bytes("/a"))
            await fleet.until(lambda: listener.unsent)
            connection = next(iter(listener.connections))
            await reader.readuntil(b"\r\n\r\n")
            received = 0
            while received < size:
                # Fifteen seconds pass on the node's clock for each eighth.
                for _ in range(size // 8 // 65_536):
                    received += len(await reader.readexactly(65_536))
                await asyncio.sleep(0.01)
                offset[0] += 15.0
                connection.check_timeouts(listener.context.clock())
            return received

        def large(request):
            return ok(request, b"x" * size)

        self.assertEqual(size, self.run_scenario(scenario, scripts=[large]))
