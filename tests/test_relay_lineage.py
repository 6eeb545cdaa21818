"""Lineage of calls through a chain of three services with real nodes.

Servers make calls as those of the platform do: without key or reference, and expiring
with the request that they run.
"""

import asyncio
import time

from tests.relay_fleet import CLUBS, RelayTestCase, configuration, field, ok, route

CHAIN = ("desk", "registry", "board")
TEAMS = {
    "clubs": {**CLUBS["clubs"], "priority": 0},
    "guests": {"api-keys": ["key-g"], "rate-per-s": 0, "burst": 0, "priority": 3},
}
ROUTES = [route(name, f"/{name}/", public=name != "desk") for name in CHAIN]
CONFIG = configuration(1, ROUTES, TEAMS)


class _CallingServers:
    """Scripts of servers that each call the next service of the chain once."""

    def __init__(self, own_limit_ms=None):
        self.fleet = None
        self.calls = []
        self._own_limit_ms = own_limit_ms

    def script(self, n, following):
        async def run(request):
            ends = time.monotonic() + int(field(request, "x-timeout-ms")) / 1000
            if following:
                await asyncio.sleep(0.02)
                stated = int(1000 * (ends - time.monotonic()))
                stated = min(stated, self._own_limit_ms or stated)
                extra = f"X-Timeout-Ms: {stated}\r\n"
                answer = await self.fleet.ask(following, n, key="", extra=extra)
                if answer[0] != 200:
                    return ok(request, status=b"500 Broken")
            return ok(request)

        return run

    def scripts(self):
        return [
            self.script(0, "/registry/a"),
            self.script(1, "/board/a"),
            self.script(2, ""),
        ]

    def watch(self, fleet):
        """Infer lineage, and record the calls that each host's executor receives."""
        self.fleet = fleet
        for n, node in enumerate(fleet.nodes):
            node._forwarder.use_chain_control()
            submit = node._executor.submit

            def record(call, reply, n=n, submit=submit):
                self.calls.append((CHAIN[n], call))
                return submit(call, reply)

            node._executor.submit = node._links.executor.submit = record


class TestLineageOfCalls(RelayTestCase):
    def play(self, requests, own_limit_ms=None, before=None):
        servers = _CallingServers(own_limit_ms)

        async def scenario(fleet):
            servers.watch(fleet)
            if before is not None:
                await before(fleet)
            asked = [
                fleet.ask("/desk/a", key=key, extra=f"X-Timeout-Ms: {ms}\r\n")
                for key, ms in requests
            ]
            answers = await asyncio.gather(*asked)
            return [answer[0] for answer in answers], [c.values for c in fleet.counters]

        options = {"config": CONFIG, "scripts": servers.scripts()}
        statuses, counters = self.run_scenario(scenario, CHAIN, **options)
        return statuses, counters, servers.calls

    def test_rank_team_and_deadline_reach_the_end_of_the_chain(self):
        statuses, counters, calls = self.play([("key-1", 2000), ("key-g", 2600)])
        self.assertEqual([200, 200], statuses)
        found = {
            (service, call.root_rank, call.root_team, call.root_remaining_ms > 2200)
            for service, call in calls
        }
        expected = {
            (service, *root)
            for service in CHAIN
            for root in ((0, "clubs", False), (3, "guests", True))
        }
        self.assertEqual(expected, found)
        self.assertEqual(2, counters[0]["lineage", "matched"])
        self.assertEqual(2, counters[1]["lineage", "matched"])

    def test_a_call_with_a_short_limit_inherits_only_what_all_agree_on(self):
        _, counters, calls = self.play([("key-1", 2000)], own_limit_ms=300)
        self.assertEqual(1, counters[0]["lineage", "unmatched"])
        ranks = {(service, call.root_rank) for service, call in calls}
        self.assertIn(("registry", 0), ranks)
        _, _, calls = self.play([("key-1", 2000), ("key-g", 2600)], own_limit_ms=300)
        ranks = {(service, call.root_rank) for service, call in calls}
        self.assertIn(("registry", -1), ranks)
        self.assertNotIn(("registry", 3), ranks)

    def test_calls_of_a_lost_state_are_served_without_lineage(self):
        """The state of a restarted node is empty, so its calls match nothing."""

        async def lose_state(fleet):
            running = fleet.nodes[0]._executor.running_requests
            running.infer = type(running)().infer

        statuses, counters, calls = self.play([("key-1", 2000)], before=lose_state)
        self.assertEqual([200], statuses)
        self.assertEqual(1, counters[0]["lineage", "unmatched"])
        ranks = [call.root_rank for service, call in calls if service != "desk"]
        self.assertEqual([-1, -1], ranks)
