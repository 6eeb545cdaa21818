"""Memory of bodies on the links between nodes.

A body must take no memory that is not reserved, and keep none that nobody uses.
"""

import asyncio
import time

from damaskramp.relay.incoming_link import BODY_STALL_SECONDS
from tests.relay_bodies import (
    LONG_SECONDS,
    MIB,
    LinkTestCase,
    body_of,
    memory_in_use,
    pattern,
)
from tests.relay_fleet import field, ok


class TestStalledBodies(LinkTestCase):
    def test_answer_that_another_node_never_takes_is_dropped(self):
        """A frozen node keeps its links, and must not keep the memory of others."""

        async def scenario(fleet):
            memory = fleet.nodes[0]._executor._connections.memory.budget
            memory.reserve_unchecked(memory.limit)
            asked = asyncio.ensure_future(fleet.ask("/once/a", method="POST"))
            service = fleet.nodes[1]._links
            await fleet.until(
                lambda: any(link._sender.unfinished for link in service.links)
            )
            service.clock = lambda: time.monotonic() + BODY_STALL_SECONDS + 1.0
            got = await asked
            await fleet.until(lambda: memory_in_use(fleet)[1] == 0)
            return got[0], b"unknown" in got[2], memory.used - memory.limit

        got = self.run_far(scenario, lambda request: ok(request, b"x" * MIB))
        self.assertEqual((502, True, 0), got)

    def test_upload_that_waits_for_memory_is_dropped_at_its_deadline(self):
        async def scenario(fleet):
            memory = fleet.nodes[1]._executor._memory
            memory.reserve_unchecked(memory.limit)
            got = await fleet.ask(
                "/up/a",
                method="POST",
                body=b"x" * MIB,
                extra="X-Timeout-Ms: 400\r\n",
            )
            await fleet.until(lambda: not fleet.nodes[1]._links.uploads)
            held = memory.used - memory.limit, memory_in_use(fleet)[0]
            return b"not-run" in got[2], held, len(fleet.servers[1].seen)

        self.assertEqual((True, (0, 0), 0), self.run_far(scenario))

    def test_upload_that_its_sender_never_cancels_is_dropped(self):
        """It would take its memory later, for a request that nobody waits for."""

        async def scenario(fleet):
            memory = fleet.nodes[1]._executor._memory
            memory.reserve_unchecked(memory.limit)
            asked = asyncio.ensure_future(
                fleet.ask("/up/a", method="POST", body=b"x" * MIB)
            )
            service = fleet.nodes[1]._links
            await fleet.until(lambda: service.uploads)
            service.clock = lambda: time.monotonic() + LONG_SECONDS
            got = await asked
            held = memory.used - memory.limit, service.memory.waiting
            dropped = fleet.counters[1].values["link_bodies_overdue", ""]
            return b"not-run" in got[2], held, dropped, len(fleet.servers[1].seen)

        self.assertEqual((True, (0, 0), 1, 0), self.run_far(scenario))


class TestMemory(LinkTestCase):
    def test_no_byte_of_a_body_is_sent_before_its_memory_is_reserved(self):
        """Six uploads from six hosts must not fill the node beside the server."""

        async def scenario(fleet, link):
            memory = fleet.nodes[1]._executor._memory
            memory.resize(2 * MIB)
            memory.reserve_unchecked(2 * MIB)
            upload = asyncio.ensure_future(
                fleet.ask("/up/a", method="POST", body=b"x" * 2 * MIB)
            )
            await asyncio.sleep(0.5)
            early = upload.done(), link.passed_up < MIB
            memory.release(2 * MIB)
            return early, (await upload)[0], memory.used

        got = self.run_far(scenario, rate=20 * MIB)
        self.assertEqual(((False, True), 200, 0), got)

    def test_large_upload_is_served_while_small_bodies_come_and_go(self):
        """The body exceeds the budgets, and some small body is held at any moment."""
        body = pattern(6 * MIB)

        async def scenario(fleet):
            for node in fleet.nodes:
                node._listener._memory.bodies.share.resize(MIB)
                node._executor._memory.resize(MIB)
            busy = True

            async def book():
                statuses = []
                while busy:
                    got = await fleet.ask(
                        "/once/a",
                        method="POST",
                        body=b"x" * 1000,
                        extra="X-Timeout-Ms: 5000\r\n",
                    )
                    statuses.append(got[0])
                return statuses

            async def hold():
                """Keep bodies held one after the other, overlapping."""
                await asyncio.sleep(0.05)
                return await book()

            clients = [asyncio.ensure_future(c()) for c in (book, hold, book, hold)]
            await asyncio.sleep(0.1)
            got = await fleet.ask(
                "/up/a", method="POST", body=body, extra="X-Timeout-Ms: 5000\r\n"
            )
            busy = False
            statuses = {s for one in await asyncio.gather(*clients) for s in one}
            whole = any(body_of(one) == body for one in fleet.servers[1].seen)
            return got[0], whole, statuses

        async def script(request):
            await asyncio.sleep(0.1)
            return ok(request)

        self.assertEqual((200, True, {200}), self.run_far(scenario, script))

    def test_answers_without_memory_are_held_back_and_not_dropped(self):
        """Their requests have run; the server is not read meanwhile."""
        body = pattern(MIB)

        async def scenario(fleet):
            for node in fleet.nodes:
                node._executor._connections.memory.budget.resize(MIB)
            asked = [fleet.ask("/once/a", method="POST") for _ in range(8)]
            answers = await asyncio.gather(*asked)
            return {(a[0], a[2] == body) for a in answers}, memory_in_use(fleet)

        got = self.run_far(scenario, lambda request: ok(request, body))
        self.assertEqual(({(200, True)}, [0, 0]), got)

    def test_answers_in_chunks_without_memory_are_held_back_and_not_dropped(self):
        body = pattern(2 * MIB)

        def script(request):
            head = b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
            head += b"Transfer-Encoding: chunked\r\n"
            request_id = field(request, "x-request-id").encode()
            yield head + b"X-Request-Id: %b\r\n\r\n" % request_id
            for start in range(0, len(body), 100_000):
                part = body[start : start + 100_000]
                yield b"%x\r\n%b\r\n" % (len(part), part)
            yield b"0\r\n\r\n"

        async def scenario(fleet):
            for node in fleet.nodes:
                node._executor._connections.memory.budget.resize(MIB)
            asked = [fleet.ask("/once/a", method="POST") for _ in range(6)]
            answers = await asyncio.gather(*asked)
            return {(a[0], a[2] == body) for a in answers}, memory_in_use(fleet)

        got = self.run_far(scenario, script)
        self.assertEqual(({(200, True)}, [0, 0]), got)

    def test_answers_broken_off_midway_leave_no_memory_reserved(self):
        """Else, after enough of them, every answer with a body is dropped."""

        def script(request):
            if b"/once" in request:
                return [ok(request, b"x" * 2 * MIB)[:MIB], ...]
            return ok(request, b"x" * 2 * MIB)

        async def scenario(fleet):
            pool = fleet.nodes[1]._executor._connections
            statuses = set()
            for n in range(30):
                got = await fleet.ask("/once/a", method="POST", request_id=f"q{n}")
                statuses.add(got[0])
            held = pool.memory.budget.used
            return statuses, held, (await fleet.ask("/a", request_id="last"))[0]

        self.assertEqual(({502}, 0, 200), self.run_far(scenario, script))
