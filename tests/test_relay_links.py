"""Bodies on the links between nodes.

A body must neither hold up other messages nor end the link, take no memory that is not
reserved, and leave nothing behind when it breaks off.
"""

import asyncio
import contextlib
import dataclasses
import time

from damaskramp.relay.incoming_link import BODY_STALL_SECONDS
from tests.relay_fleet import (
    CLUBS,
    RelayTestCase,
    configuration,
    field,
    ok,
    read_answer,
    route,
)
from tests.slow_link import slow_link

MIB = 1024 * 1024
SERVICES = ("svc", "far")
LONG = {"timeout": "15000ms", "target-latency": "15000ms", "max-attempts": 1}
FAR = configuration(
    1,
    [
        route("far", "/up/", kind="upload", **LONG),
        route("far", "/once/", kind="non_idempotent", **LONG),
        route("far", "/", **LONG),
        route("svc", "/here/", **LONG),
    ],
    CLUBS,
)
FAR["limits"]["max-body-bytes"] = 64 * MIB


def pattern(size):
    """Return bytes in which a lost or exchanged fragment shows."""
    return b"".join(n.to_bytes(4, "big") for n in range(size // 4))


def body_of(request):
    return request.partition(b"\r\n\r\n")[2]


def memory_in_use(fleet):
    """Return the bytes that the nodes hold for bodies, by node."""
    budgets = [
        (
            node._listener._memory.bodies.share,
            node._executor._memory,
            node._executor._connections.memory.budget,
        )
        for node in fleet.nodes
    ]
    return [sum(budget.used for budget in one) for one in budgets]


async def send_request(fleet, path, request_id="q1", extra=""):
    """Send a request without reading its answer."""
    reader, writer = await fleet.connect()
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-1\r\n"
        f"X-Request-Id: {request_id}\r\n{extra}\r\n".encode()
    )
    return reader, writer


class LinkTestCase(RelayTestCase):
    def run_far(self, scenario, script=None, rate=None, **options):
        """Run a scenario in which node 0 has its calls run beside node 1.

        With a rate, the link between them is that slow, and is passed as well.
        """

        async def with_link(fleet):
            if rate is None:
                return await scenario(fleet)
            async with slow_link(fleet, rate) as link:
                return await scenario(fleet, link)

        return self.run_scenario(
            with_link, SERVICES, FAR, scripts=[None, script], **options
        )


class TestSlowLinks(LinkTestCase):
    """The bodies take longer than the silence after which a link is dead."""

    def test_upload_is_served_and_breaks_off_no_other_request(self):
        body = pattern(4 * MIB)

        async def scenario(fleet, link):
            upload = asyncio.ensure_future(
                fleet.ask("/up/a", method="POST", body=body, request_id="up")
            )
            others = []
            while not upload.done():
                others.append((await fleet.ask("/a", request_id=f"q{len(others)}"))[0])
            seen = [body_of(one) for one in fleet.servers[1].seen]
            return upload.result()[0], set(others), body in seen

        got = self.run_far(scenario, rate=3 * MIB)
        self.assertEqual((200, {200}, True), got)

    def test_large_answer_is_served_and_breaks_off_no_other_request(self):
        body = pattern(4 * MIB)

        def script(request):
            return ok(request, body if b"/large" in request else b"done")

        async def scenario(fleet, link):
            large = asyncio.ensure_future(fleet.ask("/large", request_id="large"))
            others = []
            while not large.done():
                others.append((await fleet.ask("/a", request_id=f"q{len(others)}"))[0])
            return large.result()[0], set(others), large.result()[2] == body

        got = self.run_far(scenario, script, rate=3 * MIB)
        self.assertEqual((200, {200}, True), got)

    def test_small_requests_do_not_wait_behind_bodies(self):
        """Both bodies are still under way when several requests have been served."""

        def script(request):
            return ok(request, b"x" * 4 * MIB if b"/large" in request else b"done")

        async def scenario(fleet, link):
            bodies = [
                asyncio.ensure_future(
                    fleet.ask("/up/a", method="POST", body=b"x" * 4 * MIB)
                ),
                asyncio.ensure_future(fleet.ask("/large", request_id="q2")),
            ]
            await fleet.until(lambda: link.passed_up > MIB)
            await fleet.until(lambda: link.passed_down > MIB)
            statuses = [(await fleet.ask("/a", request_id=f"s{n}"))[0] for n in (1, 2)]
            early = [not one.done() for one in bodies]
            return statuses, early, [one[0] for one in await asyncio.gather(*bodies)]

        got = self.run_far(scenario, script, rate=3 * MIB)
        self.assertEqual(([200, 200], [True, True], [200, 200]), got)

    def test_cancellation_does_not_wait_behind_a_body(self):
        """The run of a caller that has left must not go on until a body is through."""

        async def script(request):
            if b"/run" in request:
                await asyncio.sleep(3600)
            return ok(request)

        async def scenario(fleet, link):
            _, writer = await send_request(fleet, "/run", "run")
            await fleet.until(lambda: fleet.servers[1].seen)
            upload = asyncio.ensure_future(
                fleet.ask("/up/a", method="POST", body=b"x" * 4 * MIB)
            )
            await fleet.until(lambda: link.passed_up > MIB)
            writer.close()
            await fleet.until(lambda: fleet.servers[1].dropped)
            return upload.done(), (await upload)[0]

        self.assertEqual((False, 200), self.run_far(scenario, script, rate=3 * MIB))

    def test_stop_waits_for_an_answer_that_is_sent_to_another_node(self):
        """It waits until the other node has it, not only for the own callers."""
        body = pattern(6 * MIB)

        async def scenario(fleet, link):
            node = fleet.nodes[1]
            node.reload(dataclasses.replace(fleet.settings(1), grace_seconds=14.0))
            answer = asyncio.ensure_future(fleet.ask("/large"))
            await fleet.until(lambda: fleet.servers[1].seen)
            whole = await node.stop()
            # The end of the process.
            await node.abort()
            got = await answer
            return whole, got[0], got[2] == body

        got = self.run_far(scenario, lambda r: ok(r, body), rate=1.4 * MIB)
        self.assertEqual((True, 200, True), got)


class TestBrokenLinks(LinkTestCase):
    def test_silent_link_in_the_middle_of_an_upload_is_given_up(self):
        """The request has not run, and no node keeps memory for it."""

        async def scenario(fleet, link):
            upload = asyncio.ensure_future(
                fleet.ask("/up/a", method="POST", body=b"x" * 4 * MIB)
            )
            await fleet.until(lambda: link.passed_up > MIB)
            link.frozen = True
            got = await upload
            link.cut()
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            return got[0], b"not-run" in got[2], len(fleet.servers[1].seen)

        self.assertEqual((503, True, 0), self.run_far(scenario, rate=2 * MIB))

    def test_silent_link_in_the_middle_of_an_answer_is_given_up(self):
        async def scenario(fleet, link):
            answer = asyncio.ensure_future(fleet.ask("/once/a", method="POST"))
            await fleet.until(lambda: link.passed_down > MIB)
            link.frozen = True
            got = await answer
            link.cut()
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            return got[0], b"unknown" in got[2]

        got = self.run_far(scenario, lambda r: ok(r, b"x" * 4 * MIB), rate=2 * MIB)
        self.assertEqual((502, True), got)

    def test_reset_link_frees_the_memory_of_bodies_in_both_directions(self):
        def script(request):
            return ok(request, b"x" * 4 * MIB if b"/once" in request else b"done")

        async def scenario(fleet, link):
            asked = [
                asyncio.ensure_future(
                    fleet.ask("/up/a", method="POST", body=b"x" * 4 * MIB)
                ),
                asyncio.ensure_future(
                    fleet.ask("/once/a", method="POST", request_id="q2")
                ),
            ]
            await fleet.until(lambda: link.passed_up > MIB)
            await fleet.until(lambda: link.passed_down > MIB)
            link.cut()
            statuses = [got[0] for got in await asyncio.gather(*asked)]
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            return statuses, [b"/up/" in one for one in fleet.servers[1].seen]

        got = self.run_far(scenario, script, rate=2 * MIB)
        self.assertEqual(([503, 502], [False]), got)

    def test_caller_that_leaves_in_the_middle_of_an_upload_frees_its_memory(self):
        async def scenario(fleet, link):
            _, writer = await fleet.connect()
            writer.write(
                b"POST /up/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q1\r\n"
                b"Authorization: Token key-1\r\nContent-Length: %d\r\n\r\n" % (4 * MIB)
            )
            writer.write(b"x" * 4 * MIB)
            await fleet.until(lambda: link.passed_up > MIB)
            writer.close()
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            after = (await fleet.ask("/a", request_id="q2"))[0]
            return after, len(fleet.servers[1].seen)

        self.assertEqual((200, 1), self.run_far(scenario, rate=2 * MIB))


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
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
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


class TestSlowReaders(LinkTestCase):
    """Callers that don't read hold back the server, not the memory of the nodes."""

    SIZE = 8 * MIB
    READERS = 6

    def run_readers(self, scenario, here=False):
        body = pattern(self.SIZE)
        sent = []

        def script(request):
            if b"/small" in request:
                yield ok(request)
                return
            answer = ok(request, body)
            for start in range(0, len(answer), 65536):
                sent.append(len(answer[start : start + 65536]))
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
            while before != len(sent):
                before = len(sent)
                await asyncio.sleep(0.5)
            return await scenario(fleet, callers, sum(sent), body)

        services_scripts = [script, script]
        return self.run_scenario(with_readers, SERVICES, FAR, scripts=services_scripts)

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
        async def scenario(fleet, callers, sent, body):
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
        async def scenario(fleet, callers, sent, body):
            for _, writer in callers:
                writer.transport.abort()
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            await fleet.until(lambda: not fleet.nodes[1]._executor.running)
            return (await fleet.ask("/small", request_id="small"))[0]

        self.assertEqual(200, self.run_readers(scenario))

    def test_answer_that_breaks_off_while_it_is_passed_on_is_never_complete(self):
        """With too little memory to hold it, its head has been sent by then."""

        def script(request):
            return [ok(request, b"x" * 2 * MIB)[:MIB], ...]

        async def scenario(fleet):
            for node in fleet.nodes:
                node._executor._connections.memory.budget.resize(MIB)
            reader, _ = await send_request(fleet, "/a")
            with contextlib.suppress(ConnectionError):
                got = await asyncio.wait_for(reader.read(), 10.0)
                head, _, body = got.partition(b"\r\n\r\n")
                self.assertEqual("200", head.split()[1].decode())
                self.assertLess(len(body), int(field(head, "content-length")))
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])

        self.run_far(scenario, script)
