"""Planned stops of a node.

An accepted request must be completed, and callers must be told to close their
connections before the node closes them.
"""

import asyncio
import dataclasses
import json

from tests.relay_fleet import (
    CLUBS,
    RelayTestCase,
    configuration,
    field,
    ok,
    read_answer,
    route,
)

LONG_TIMES = {"timeout": "15s", "target-latency": "15s"}


PATIENT = configuration(
    1, [route("svc", "/once/", kind="non_idempotent", **LONG_TIMES)], CLUBS
)


async def slow(request):
    await asyncio.sleep(0.3)
    return ok(request)


class TestStop(RelayTestCase):
    def test_planned_stop_completes_all_requests(self):
        async def scenario(fleet):
            statuses = []
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())

            async def caller(n):
                while not stopping.done():
                    try:
                        got = await fleet.ask("/a", n=n)
                    except ConnectionRefusedError:
                        # By then the node has been reported as not ready for seconds.
                        return
                    statuses.append(got[0])

            await asyncio.gather(*(caller(n % 2) for n in range(6)), stopping)
            return set(statuses), stopping.result()

        got = self.run_scenario(scenario, ("svc", "svc"), scripts=[slow, slow])
        self.assertEqual(({200}, True), got)

    def test_stopping_node_is_not_ready_but_still_serves(self):
        async def scenario(fleet):
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            await asyncio.sleep(0)
            got = (await fleet.ask("/a"))[0], fleet.nodes[0].ready
            await stopping
            return got

        self.assertEqual((200, False), self.run_scenario(scenario, ("svc", "svc")))

    def test_slowly_read_answer_is_complete_before_the_stop_ends(self):
        """The unread part of the answer is buffered in the process of the node."""
        size = 24 * 1024 * 1024

        async def scenario(fleet):
            # The grace period must not end a stop on a busy machine.
            settings = dataclasses.replace(fleet.settings(0), grace_seconds=14.0)
            fleet.nodes[0].reload(settings)
            reader, writer = await fleet.connect()
            writer.write(
                b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q1\r\n"
                b"Authorization: Token key-1\r\n\r\n"
            )
            await fleet.until(lambda: fleet.nodes[0]._listener.unsent)
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            head = await reader.readuntil(b"\r\n\r\n")
            body = 0
            # This takes longer than a stop waits for callers when no answer is unsent.
            for _ in range(40):
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

        got = self.run_scenario(scenario, scripts=[large])
        self.assertEqual((False, size, size, True), got)

    def test_open_connections_get_connection_close_first(self):
        """Callers use their connections until then, and each request is answered."""

        async def scenario(fleet):
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            unanswered, answered, closed_by_header = 0, 0, 0

            async def caller(n):
                nonlocal unanswered, answered, closed_by_header
                while not stopping.done():
                    try:
                        reader, writer = await fleet.connect()
                    except ConnectionError:
                        # No request has been sent yet.
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
                            unanswered += 1
                            break
                        answered += status == 200
                        if field(head, "connection") == "close":
                            closed_by_header += 1
                            break
                    writer.close()

            await asyncio.gather(*(caller(n) for n in range(8)), stopping)
            return unanswered, answered > 100, closed_by_header > 0

        got = self.run_scenario(scenario, ("svc", "svc"))
        self.assertEqual((0, True, True), got)

    def test_pipelined_requests_are_answered_before_the_close(self):
        async def scenario(fleet):
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            listener = fleet.nodes[0]._listener
            await fleet.until(lambda: listener.context.closing)
            reader, writer = await fleet.connect()
            for n in range(3):
                writer.write(
                    b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n"
                    b"Authorization: Token key-1\r\n\r\n" % n
                )
            answers = [await read_answer(reader) for _ in range(3)]
            writer.close()
            await stopping
            connection_fields = [field(head, "connection") for _, head, _ in answers]
            return [status for status, *_ in answers], connection_fields

        got = self.run_scenario(scenario, ("svc", "svc"))
        self.assertEqual(([200] * 3, [None, None, "close"]), got)

    def test_nothing_runs_behind_a_refusal_that_closes_the_connection(self):
        """Guards against requests that a stop cuts after they have run.

        Requests that come in one piece with one that is refused at once, soak seed 410.
        """

        async def scenario(fleet):
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            listener = fleet.nodes[0]._listener
            await fleet.until(lambda: listener.context.closing)
            reader, writer = await fleet.connect()
            request = (
                b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n"
                b"Authorization: Token %b\r\n\r\n"
            )
            writer.write(request % (0, b"unknown") + request % (1, b"key-1"))
            status, head, _ = await read_answer(reader)
            rest = await reader.read()
            # A request that runs is not abandoned by its caller.
            await asyncio.sleep(0.3)
            writer.close()
            await stopping
            ids = [field(seen, "x-request-id") for seen in fleet.servers[1].seen]
            return status, field(head, "connection"), rest, ids

        # The own server takes nothing any more, so requests run at the other one.
        got = self.run_scenario(scenario, ("svc", "svc"))
        self.assertEqual((401, "close", b"", []), got)

    def test_late_request_is_refused_unrun_rather_than_cut_at_the_end(self):
        async def very_slow(request):
            await asyncio.sleep(2.6)
            return ok(request)

        async def scenario(fleet):
            settings = dataclasses.replace(fleet.settings(0), grace_seconds=6.0)
            fleet.nodes[0].reload(settings)
            stopping = asyncio.ensure_future(fleet.nodes[0].stop())
            await asyncio.sleep(0.5)
            early = asyncio.ensure_future(fleet.ask("/once/a", request_id="early"))
            await asyncio.sleep(2.6)
            paths = ("/a", "/once/a")
            late = await asyncio.gather(*(self.ask_late(fleet, path) for path in paths))
            early_status = (await early)[0]
            await stopping
            ids = [field(request, "x-request-id") for request in fleet.servers[1].seen]
            return early_status, late, ids, stopping.result()

        # The request comes to the node that stops and would run at the other one.
        services = ("other", "svc")
        got = self.run_scenario(scenario, services, scripts=[None, very_slow])
        self.assertEqual((200, [(503, True)] * 2, ["early"], True), got)

    def test_request_that_waits_at_another_host_is_refused_unrun(self):
        """Guards against connections that a stop closes while a request waits unrun.

        The server runs one request until after the end of the node that stops.
        """

        async def endless(request):
            await asyncio.sleep(3600)

        async def scenario(fleet):
            first, second = await fill_server(fleet)
            await fleet.nodes[0].stop()
            # The end of the process.
            await fleet.nodes[0].abort()
            seen = [field(one, "x-request-id") for one in fleet.servers[1].seen]
            return await first, await second, seen

        got = self.run_scenario(
            scenario,
            ("other", "svc"),
            PATIENT,
            scripts=[None, endless],
        )
        self.assertEqual((502, "unknown"), got[0])
        self.assertEqual((503, "not-run"), got[1])
        self.assertEqual(["runs"], got[2])

    def test_request_that_waits_at_a_stopping_host_is_refused_unrun(self):
        """Guards against an unknown outcome of a request that never ran.

        The server beside the node that stops finishes nothing, so that no end of a run
        makes the waiting request leave its queue.
        """

        async def endless(request):
            await asyncio.sleep(3600)

        async def scenario(fleet):
            first, second = await fill_server(fleet)
            await fleet.nodes[1].stop()
            await fleet.nodes[1].abort()
            return await first, await second

        got = self.run_scenario(
            scenario, ("other", "svc"), PATIENT, scripts=[None, endless]
        )
        self.assertEqual(((502, "unknown"), (503, "not-run")), got)

    async def ask_late(self, fleet, path):
        """Return the status, and whether the answer says when to come again."""
        reader, writer = await fleet.connect()
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\n"
            "X-Timeout-Ms: 5000\r\nAuthorization: Token key-1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        status, head, body = await read_answer(reader)
        writer.close()
        return status, b"not-run" in body and field(head, "retry-after") is not None


async def fill_server(fleet):
    """Let one request run at server 1 and another wait there; return both tasks."""
    node = fleet.nodes[1]
    fleet.list_server(1, slots=1)
    await fleet.until(lambda: node._fleet_view.own_slots == 1)
    tasks, load = [], node._executor.queue
    for name, is_there in (
        ("runs", lambda: load.running == 1),
        ("waits", lambda: load.waiting == 1),
    ):
        tasks.append(asyncio.ensure_future(ask_or_cut(fleet, "/once/a", name)))
        await fleet.until(is_there)
    return tasks


async def ask_or_cut(fleet, path, request_id):
    """Return the status and the outcome of a request; status 0 if it is cut."""
    try:
        status, _, body = await fleet.ask(path, request_id=request_id)
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, "cut"
    return status, json.loads(body)["outcome"] if status >= 500 else ""
