"""Bodies on slow and on broken links between nodes.

A body must neither hold up other messages nor end the link, and leave nothing behind
when it breaks off.
"""

import asyncio
import dataclasses

from tests.relay_bodies import (
    MIB,
    LinkTestCase,
    body_of,
    memory_in_use,
    pattern,
    send_request,
    start_upload,
)
from tests.relay_fleet import ok, request_bytes


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
                start_upload(fleet),
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
            upload = start_upload(fleet)
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
            upload = start_upload(fleet)
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
                start_upload(fleet),
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
            writer.write(request_bytes("/up/a", "POST", body=b"x" * 4 * MIB))
            await fleet.until(lambda: link.passed_up > MIB)
            writer.close()
            await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            after = (await fleet.ask("/a", request_id="q2"))[0]
            return after, len(fleet.servers[1].seen)

        self.assertEqual((200, 1), self.run_far(scenario, rate=2 * MIB))
