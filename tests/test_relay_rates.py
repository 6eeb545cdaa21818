"""Rates of teams over real links between nodes."""

import time

from tests.relay_fleet import CLUBS, RelayTestCase, configuration, route

RATE = 40
"""Requests a second of the team; its burst is as large. The two zones of the fleet
have one keeper each, with half of it."""


def rated(rate=RATE, version=1):
    tenants = {"clubs": {**CLUBS["clubs"], "rate-per-s": rate, "burst": rate}}
    return configuration(version, [route("svc", "/")], tenants)


class TestRates(RelayTestCase):
    SERVICES = ("svc", "svc", "svc", "svc")

    def test_host_that_gets_all_requests_has_the_whole_rate(self):
        async def flood(fleet):
            began = time.monotonic()
            statuses = [(await fleet.ask("/a"))[0] for _ in range(3 * RATE)]
            return statuses, time.monotonic() - began

        statuses, took = self.play(flood, self.SERVICES, rated())
        served = statuses.count(200)
        self.assertLessEqual(set(statuses), {200, 429})
        # More than its own half of the burst, and never more than the team may have:
        # permits of the start, and those minted meanwhile.
        self.assertGreater(served, RATE * 0.75)
        self.assertLessEqual(served, RATE + RATE * took + 1)

    def test_all_hosts_together_keep_to_the_rate(self):
        async def flood(fleet):
            began = time.monotonic()
            served = 0
            for n in range(4 * RATE):
                status, *_ = await fleet.ask("/a", n % 4)
                served += status == 200
            return served, time.monotonic() - began

        served, took = self.play(flood, self.SERVICES, rated())
        self.assertLessEqual(served, RATE + RATE * took + 1)
        self.assertGreater(served, RATE * 0.75)

    def test_requests_refused_unrun_cost_the_team_nothing(self):
        async def flood(fleet):
            for n in range(4):
                fleet.list_server(n, state="draining")
            fleet_view = fleet.nodes[0]._fleet_view
            await fleet.until(
                lambda: all(s.leaving for s in fleet_view.directory.servers)
            )
            return {(await fleet.ask("/a"))[0] for _ in range(3 * RATE)}

        self.assertEqual({503}, self.play(flood, self.SERVICES, rated()))
