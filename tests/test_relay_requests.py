"""Requests through relay nodes, as backend servers and callers see them."""

import asyncio

from tests.relay_fleet import (
    CLUBS,
    WAIT_TIMEOUT_SECONDS,
    RelayTestCase,
    configuration,
    field,
    ok,
    read_answer,
    route,
)

LONG_HEADS = configuration(1, [route("svc", "/")], CLUBS)
LONG_HEADS["limits"]["max-header-bytes"] = 16384


class TestRequests(RelayTestCase):
    def test_server_receives_the_request_with_added_fields(self):
        async def scenario(fleet):
            extra = (
                "X-Tenant: forged\r\nX-Caller-Service: forged\r\n"
                "X-Expected-Instance: forged\r\nConnection: x-hop\r\nX-Hop: 1\r\n"
                "X-Timeout-Ms: 2000\r\nX-Kept: yes\r\n"
            )
            got = await fleet.ask("/a?b=c", method="PUT", body=b"text", extra=extra)
            return got, fleet.servers[0].seen[0]

        (status, head, body), seen = self.run_scenario(scenario)
        self.assertEqual((200, b"done"), (status, body))
        self.assertEqual("q1", field(head, "x-request-id"))
        self.assertTrue(seen.startswith(b"PUT /a?b=c HTTP/1.1\r\n"), seen)
        self.assertTrue(seen.endswith(b"\r\n\r\ntext"), seen)
        self.assertEqual("clubs", field(seen, "x-tenant"))
        self.assertEqual("svc", field(seen, "x-caller-service"))
        self.assertEqual("i-0", field(seen, "x-expected-instance"))
        self.assertEqual("yes", field(seen, "x-kept"))
        self.assertLessEqual(int(field(seen, "x-timeout-ms")), 2000)
        for name in ("authorization", "x-hop", "connection"):
            self.assertIsNone(field(seen, name), name)
        self.assertNotIn(b"forged", seen)
        self.assertNotIn(b"key-1", seen)

    def test_whitespace_after_values_is_no_part_of_them(self):
        """Guards against requests that are not found, and answers that are lost."""

        def script(request):
            return ok(request).replace(b"\r\nContent", b" \t\r\nContent")

        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(
                b"POST /once/a HTTP/1.1\r\nHost: a.example \r\nX-Request-Id: q1\t\r\n"
                b"X-Timeout-Ms: 1500 \r\nAuthorization: Token key-1 \t\r\n"
                b"Content-Length: 4 \r\n\r\ntext"
            )
            status, head, body = await read_answer(reader)
            return status, field(head, "x-request-id"), body, fleet.servers[0].seen

        *got, seen = self.run_scenario(scenario, scripts=[script])
        self.assertEqual([200, "q1", b"done"], got)
        self.assertEqual(1, len(seen))
        self.assertIn(b"X-Request-Id: q1\r\n", seen[0])
        self.assertTrue(seen[0].endswith(b"\r\n\r\ntext"))
        self.assertLessEqual(int(field(seen[0], "x-timeout-ms")), 1500)

    def test_requests_of_very_many_fields_are_refused(self):
        """Guards against crowds of them, which starved ordinary callers.

        A request of a few short fields more than the parser takes costs no more to
        refuse than to read so far.
        """

        async def scenario(fleet):
            got = []
            for count in (100, 1000):
                fields = "".join(f"a{n}:\r\n" for n in range(count))
                status, head, _ = await fleet.ask("/a", extra=fields)
                got.append((status, field(head, "connection")))
            return got, len(fleet.servers[0].seen)

        got = self.run_scenario(scenario, config=LONG_HEADS)
        self.assertEqual(([(200, None), (431, "close")], 1), got)

    def test_length_with_whitespace_after_it_is_bounded(self):
        """Guards against a body over the limit that is read without a bound."""

        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q1\r\n"
                b"Authorization: Token key-1\r\nContent-Length: 600000000 \r\n\r\n"
            )
            writer.write(b"x" * 200_000)
            return (await read_answer(reader))[0]

        self.assertEqual(413, self.run_scenario(scenario))

    def test_request_is_forwarded_to_the_node_of_its_service(self):
        async def scenario(fleet):
            got = await fleet.ask("/a", n=0)
            return got, [len(server.seen) for server in fleet.servers[:2]]

        config = configuration(1, [route("far", "/")], CLUBS)
        (status, _, _), seen = self.run_scenario(scenario, ("svc", "far"), config)
        self.assertEqual((200, [0, 1]), (status, seen))

    def test_unknown_keys_and_routes_are_refused(self):
        async def scenario(fleet):
            wrong = await fleet.ask("/a", key="wrong")
            missing = await fleet.ask("/a", key="")
            public = await fleet.ask("/open/", key="")
            elsewhere = await fleet.ask("/a", extra="X: 1\r\n")
            return [got[0] for got in (wrong, missing, public, elsewhere)]

        routes = [route("svc", "/"), route("svc", "/open/", public=True)]
        config = configuration(1, routes, CLUBS)
        self.assertEqual(
            [401, 401, 200, 200], self.run_scenario(scenario, config=config)
        )
        config = configuration(1, [route("svc", "/only/")], CLUBS)
        self.assertEqual([404] * 4, self.run_scenario(scenario, config=config))

    def test_chunked_body_is_forwarded_with_its_length(self):
        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\n"
                b"Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            got = await read_answer(reader)
            writer.close()
            return got[0], fleet.servers[0].seen[0]

        status, seen = self.run_scenario(scenario)
        self.assertEqual(200, status)
        self.assertEqual("5", field(seen, "content-length"))
        self.assertTrue(seen.endswith(b"\r\n\r\nabcde"), seen)
        self.assertIsNone(field(seen, "transfer-encoding"))

    def test_ambiguous_lengths_are_refused_and_reach_no_server(self):
        heads = [
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 4\r\nContent-Length: 5\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            b"Content-Length: +4\r\n",
            b"Content-Length : 4\r\n",
        ]

        async def scenario(fleet):
            statuses = []
            for head in heads:
                reader, writer = await fleet.connect()
                writer.write(
                    b"POST /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\n"
                    b"Authorization: Token key-1\r\n" + head + b"\r\n"
                    b"0\r\n\r\nGET /b HTTP/1.1\r\nHost: a.example\r\n\r\n"
                )
                statuses.append((await read_answer(reader))[0])
                writer.close()
            return statuses, fleet.servers[0].seen

        statuses, seen = self.run_scenario(scenario)
        self.assertEqual([400] * len(heads), statuses)
        self.assertEqual([], seen)

    def test_limits_of_head_body_and_header_time(self):
        async def scenario(fleet):
            large = await fleet.ask("/a", extra="X: " + "x" * 5000 + "\r\n")
            body = await fleet.ask("/a", method="POST", body=b"x" * 200_000)
            reader, writer = await fleet.connect()
            writer.write(b"GET / HTTP/1.1\r\nHost")
            slow = await read_answer(reader)
            writer.close()
            return [got[0] for got in (large, body, slow)]

        self.assertEqual([431, 413, 408], self.run_scenario(scenario))

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario(fleet):
            reader, writer = await fleet.connect()
            for n in range(12):
                writer.write(
                    b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n"
                    b"Authorization: Token key-1\r\n\r\n" % n
                )
            answers = [await read_answer(reader) for _ in range(12)]
            writer.close()
            return [field(head, "x-request-id") for _, head, _ in answers]

        self.assertEqual([f"q{n}" for n in range(12)], self.run_scenario(scenario))

    def test_nothing_runs_after_an_answer_that_closes_the_connection(self):
        """Guards against requests that run although they can't be answered any more.

        The first request is answered while the parser still has the others to read.
        """

        async def scenario(fleet):
            reader, writer = await fleet.connect()
            head = b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n"
            bad = head % 0 + b"Host: b.example\r\n\r\n"
            good = head % 1 + b"Authorization: Token key-1\r\n\r\n"
            writer.write(bad + good)
            status, head, _ = await read_answer(reader)
            rest = await reader.read()
            # A request that runs is not abandoned by its caller.
            await asyncio.sleep(0.3)
            writer.close()
            ids = [field(seen, "x-request-id") for seen in fleet.servers[0].seen]
            return status, field(head, "connection"), rest, ids

        self.assertEqual((400, "close", b"", []), self.run_scenario(scenario))

    def test_without_teams_requests_need_no_key(self):
        async def scenario(fleet):
            status = (await fleet.ask("/a", key=""))[0]
            return status, field(fleet.servers[0].seen[0], "x-tenant")

        config = configuration(1, [route("svc", "/", public=False)])
        self.assertEqual((200, None), self.run_scenario(scenario, config=config))

    def test_head_is_answered_without_a_body(self):
        async def scenario(fleet):
            reader, writer = await fleet.connect()
            request = (
                b" /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\n"
                b"Authorization: Token key-1\r\n\r\n"
            )
            writer.write(b"HEAD" + request)
            first = await read_answer(reader, "HEAD")
            writer.write(b"GET" + request)
            second = await read_answer(reader)
            writer.close()
            return first, second

        def script(request):
            answer = ok(request)
            return answer[:-4] if request.startswith(b"HEAD") else answer

        first, second = self.run_scenario(scenario, scripts=[script])
        self.assertEqual((200, "4"), (first[0], field(first[1], "content-length")))
        self.assertEqual((200, b"done"), (second[0], second[2]))

    def test_caller_disconnect_cancels_the_run(self):
        async def slow(request):
            await asyncio.sleep(WAIT_TIMEOUT_SECONDS)

        async def scenario(fleet):
            _reader, writer = await fleet.connect(0)
            writer.write(
                b"GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\n"
                b"Authorization: Token key-1\r\n\r\n"
            )
            await fleet.until(lambda: fleet.servers[1].seen)
            writer.close()
            await fleet.until(lambda: fleet.servers[1].dropped)
            await fleet.until(lambda: fleet.nodes[1]._executor.running == 0)

        config = configuration(1, [route("far", "/")], CLUBS)
        self.run_scenario(scenario, ("svc", "far"), config, scripts=[None, slow])

    def test_route_timeout_is_answered_as_unknown(self):
        async def slow(request):
            await asyncio.sleep(WAIT_TIMEOUT_SECONDS)

        async def scenario(fleet):
            return await fleet.ask("/a")

        config = configuration(1, [route("svc", "/", timeout="200ms")], CLUBS)
        status, _, body = self.run_scenario(scenario, config=config, scripts=[slow])
        self.assertEqual(504, status)
        self.assertIn(b"unknown", body)
