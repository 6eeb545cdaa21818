"""Callers that read large answers slowly or not at all."""

import asyncio
import contextlib

from tests.relay_bodies import (
    FAR,
    MIB,
    SERVICES,
    LinkTestCase,
    memory_in_use,
    pattern,
    send_request,
)
from tests.relay_fleet import field, ok, read_answer, request_bytes


class TestSlowReaders(LinkTestCase):
    """Callers that don't read hold back the server, not the memory of the nodes."""

    SIZE = 8 * MIB
    READERS = 6

    def run_readers(self, scenario, here=False):
        body = pattern(self.SIZE)
        pieces = []

        def script(request):
            if b"/small" in request:
                yield ok(request)
                return
            answer = ok(request, body)
            for start in range(0, len(answer), 65536):
                pieces.append(start)
                yield answer[start : start + 65536]

        async def with_readers(fleet):
            for node in fleet.nodes:
                node._executor._connections.memory.budget.resize(4 * MIB)
            path = "/here/a" if here else "/a"
            callers = [
                await send_request(fleet, path, f"q{n}") for n in range(self.READERS)
            ]
            for _, writer in callers:
                writer.transport.pause_reading()
            # Wait until nothing moves any more.
            before = -1
            while before != len(pieces):
                before = len(pieces)
                await asyncio.sleep(0.5)
            return await scenario(fleet, callers, body)

        scripts = [script, script]
        return self.run_scenario(with_readers, SERVICES, FAR, scripts=scripts)

    @staticmethod
    def unsent_bytes(fleet):
        """Return the bytes that the nodes hold in the buffers of connections."""
        transports = [
            connection._transport
            for node in fleet.nodes
            for connection in node._listener.connections
        ]
        transports += [
            link._transport for node in fleet.nodes for link in node._links.links
        ]
        return sum(t.get_write_buffer_size() for t in transports if t is not None)

    def check(self, here):
        async def scenario(fleet, callers, body):
            held = [self.unsent_bytes(fleet), max(memory_in_use(fleet))]
            path = "/here/small" if here else "/small"
            small = (await fleet.ask(path, request_id="small"))[0]
            for _, writer in callers:
                writer.transport.resume_reading()
            answers = await asyncio.gather(*(read_answer(r) for r, _ in callers))
            whole = {(status, got == body) for status, _, got in answers}
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            return held, small, whole

        held, small, whole = self.run_readers(scenario, here)
        self.assertEqual((200, {(200, True)}), (small, whole))
        self.assertLess(held[0], 4 * MIB)
        self.assertLessEqual(held[1], 4 * MIB)

    def test_of_another_nodes_server(self):
        self.check(here=False)

    def test_of_the_own_server(self):
        self.check(here=True)

    def test_that_ask_one_after_the_other(self):
        """Each answer fits into the memory; those that are not read must not add up."""
        body = pattern(self.SIZE)

        async def scenario(fleet):
            for node in fleet.nodes:
                node._executor._connections.memory.budget.resize(2 * self.SIZE)
            callers, held = [], []
            for n in range(self.READERS):
                callers.append(await send_request(fleet, "/a", f"q{n}"))
                callers[-1][1].transport.pause_reading()
                await asyncio.sleep(0.3)
                held.append(self.unsent_bytes(fleet) + max(memory_in_use(fleet)))
            for _, writer in callers:
                writer.transport.resume_reading()
            answers = await asyncio.gather(*(read_answer(r) for r, _ in callers))
            return max(held), {(status, got == body) for status, _, got in answers}

        held, whole = self.run_far(scenario, lambda request: ok(request, body))
        self.assertEqual({(200, True)}, whole)
        self.assertLess(held, 2.25 * self.SIZE)

    def test_that_leave_free_the_server_and_the_memory(self):
        async def scenario(fleet, callers, body):
            for _, writer in callers:
                writer.transport.abort()
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            await fleet.until(lambda: not fleet.nodes[1]._executor.running)
            return (await fleet.ask("/small", request_id="small"))[0]

        self.assertEqual(200, self.run_readers(scenario))

    def test_answer_that_breaks_off_while_it_is_passed_on_is_never_complete(self):
        """With too little memory to hold it, its head has been sent by then."""

        def script(request):
            if b"/small" in request:
                return ok(request)
            return [ok(request, b"x" * 2 * MIB)[:MIB], ...]

        async def scenario(fleet):
            for node in fleet.nodes:
                node._executor._connections.memory.budget.resize(MIB)
            reader, writer = await send_request(fleet, "/a")
            # Bytes of a later answer must not fill up the body either.
            writer.write(request_bytes("/small", request_id="q2"))
            with contextlib.suppress(ConnectionError):
                got = await asyncio.wait_for(reader.read(), 10.0)
                head, _, body = got.partition(b"\r\n\r\n")
                self.assertEqual("200", head.split()[1].decode())
                self.assertLess(len(body), int(field(head, "content-length")))
                self.assertNotIn(b"HTTP/1.1", body)
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])

        self.run_far(scenario, script)
