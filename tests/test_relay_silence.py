"""Answers lost in silence: a second server is asked, and each answer counts once."""

import asyncio

from tests.relay_fleet import RelayTestCase, ok


async def mute(request):
    await asyncio.sleep(3600)


def slow_then(seconds):
    async def script(request):
        await asyncio.sleep(seconds)
        return ok(request, b"slow")

    return script


class TestSilentServers(RelayTestCase):
    async def learn(self, fleet, n=0):
        """Have the node know how long the route's requests take."""
        for _ in range(4):
            fleet.nodes[n]._forwarder.route_times.record_answer("r-0", 0.03)
            fleet.nodes[n]._forwarder.route_times.record_answer("r-1", 0.03)

    def ask(self, path, scripts, method="GET"):
        async def scenario(fleet):
            await self.learn(fleet)
            got = await fleet.ask(path, method=method, extra="X-Timeout-Ms: 1500\r\n")
            await asyncio.sleep(0.05)
            servers = fleet.servers[:2]
            opened = [server.dropped for server in servers]
            return got[0], got[2], [len(server.seen) for server in servers], opened

        # The first choice is the server of the own zone.
        return self.play(scenario, ("svc", "svc"), scripts=scripts)

    def test_idempotent_request_is_answered_by_the_second_server(self):
        status, body, seen, dropped = self.ask("/a", [mute, None])
        self.assertEqual((200, b"done", [1, 1]), (status, body, seen))
        self.assertEqual([1, 0], dropped)

    def test_first_answer_counts_where_the_second_is_slower(self):
        status, body, seen, _ = self.ask("/a", [slow_then(0.3), mute])
        self.assertEqual((200, b"slow", [1, 1]), (status, body, seen))

    def test_failure_of_one_waits_for_the_other(self):
        async def fails(request):
            await asyncio.sleep(0.25)
            return ok(request, status=b"500 Broken")

        status, body, seen, _ = self.ask("/a", [fails, slow_then(0.5)])
        self.assertEqual((200, b"slow", [1, 1]), (status, body, seen))

    def test_non_idempotent_request_waits(self):
        status, body, seen, _ = self.ask("/once/a", [mute, None], method="POST")
        self.assertEqual((504, [1, 0]), (status, seen))
        self.assertIn(b"unknown", body)

    def test_both_silent_is_unknown_at_the_deadline(self):
        status, body, seen, dropped = self.ask("/a", [mute, mute])
        self.assertEqual((504, [1, 1], [1, 1]), (status, seen, dropped))
        self.assertIn(b"unknown", body)

    def test_without_budget_nobody_else_is_asked(self):
        async def scenario(fleet):
            await self.learn(fleet)
            budget = fleet.nodes[0]._budget
            budget.spend = lambda service, now, depth: False
            got = await fleet.ask("/a", extra="X-Timeout-Ms: 500\r\n")
            return got[0], [len(server.seen) for server in fleet.servers[:2]]

        got = self.play(scenario, ("svc", "svc"), scripts=[mute, None])
        self.assertEqual((504, [1, 0]), got)

    def test_without_another_server_the_first_is_waited_for(self):
        async def scenario(fleet):
            await self.learn(fleet)
            got = await fleet.ask("/a", extra="X-Timeout-Ms: 1500\r\n")
            return got[0], got[2], len(fleet.servers[0].seen)

        got = self.play(scenario, scripts=[slow_then(0.4)])
        self.assertEqual((200, b"slow", 1), got)
