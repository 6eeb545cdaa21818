"""Hedging: a second backend server gets the request when the first is silent.

An answer can be lost without a closed connection. Each answer counts once,
and a non-idempotent request must not be sent twice.
"""

import asyncio

from damaskramp.dispatch import SpendDecision
from tests.relay_fleet import RelayTestCase, ok


async def never_answer(request):
    await asyncio.sleep(3600)


def answer_after(seconds):
    async def script(request):
        await asyncio.sleep(seconds)
        return ok(request, b"slow")

    return script


class TestSilentServers(RelayTestCase):
    async def record_route_times(self, fleet, n=0):
        """Record answer times, so that the node knows how long the routes take."""
        for _ in range(4):
            fleet.nodes[n]._forwarder.route_times.record_answer("r-0", 0.03)
            fleet.nodes[n]._forwarder.route_times.record_answer("r-1", 0.03)

    def ask(self, path, scripts, method="GET"):
        async def scenario(fleet):
            await self.record_route_times(fleet)
            got = await fleet.ask(path, method=method, extra="X-Timeout-Ms: 1500\r\n")
            await asyncio.sleep(0.05)
            servers = fleet.servers[:2]
            dropped_counts = [server.dropped for server in servers]
            return (
                got[0],
                got[2],
                [len(server.seen) for server in servers],
                dropped_counts,
            )

        # The node sends first to the server of its own zone.
        return self.run_scenario(scenario, ("svc", "svc"), scripts=scripts)

    def test_hedge_is_answered_by_the_second_server(self):
        status, body, seen, dropped = self.ask("/a", [never_answer, None])
        self.assertEqual((200, b"done", [1, 1]), (status, body, seen))
        self.assertEqual([1, 0], dropped)

    def test_slow_first_server_wins_over_a_silent_second(self):
        status, body, seen, _ = self.ask("/a", [answer_after(0.3), never_answer])
        self.assertEqual((200, b"slow", [1, 1]), (status, body, seen))

    def test_failure_of_the_first_server_waits_for_the_second(self):
        async def fails(request):
            await asyncio.sleep(0.25)
            return ok(request, status=b"500 Broken")

        status, body, seen, _ = self.ask("/a", [fails, answer_after(0.5)])
        self.assertEqual((200, b"slow", [1, 1]), (status, body, seen))

    def test_non_idempotent_request_is_not_hedged(self):
        status, body, seen, _ = self.ask("/once/a", [never_answer, None], method="POST")
        self.assertEqual((504, [1, 0]), (status, seen))
        self.assertIn(b"unknown", body)

    def test_two_silent_servers_are_unknown_at_the_deadline(self):
        status, body, seen, dropped = self.ask("/a", [never_answer, never_answer])
        self.assertEqual((504, [1, 1], [1, 1]), (status, seen, dropped))
        self.assertIn(b"unknown", body)

    def test_without_retry_budget_no_hedge_is_sent(self):
        async def scenario(fleet):
            await self.record_route_times(fleet)
            budget = fleet.nodes[0]._parts.retry_budget
            budget.decide = lambda *request: SpendDecision.BUDGET
            got = await fleet.ask("/a", extra="X-Timeout-Ms: 500\r\n")
            return got[0], [len(server.seen) for server in fleet.servers[:2]]

        got = self.run_scenario(scenario, ("svc", "svc"), scripts=[never_answer, None])
        self.assertEqual((504, [1, 0]), got)

    def test_without_a_second_server_the_first_is_awaited(self):
        async def scenario(fleet):
            await self.record_route_times(fleet)
            got = await fleet.ask("/a", extra="X-Timeout-Ms: 1500\r\n")
            return got[0], got[2], len(fleet.servers[0].seen)

        got = self.run_scenario(scenario, scripts=[answer_after(0.4)])
        self.assertEqual((200, b"slow", 1), got)
