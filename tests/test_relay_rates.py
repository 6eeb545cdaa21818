"""Rates of teams, kept by nodes that are connected by real links."""

import time

from tests.relay_fleet import CLUBS, RelayTestCase, configuration, route

RATE = 40
"""Rate of the team in requests per second; its burst has the same number of requests.

Each of the two zones of the fleet has one share host with half of the rate and burst.
"""


def configuration_with_rate(rate=RATE, version=1):
    tenants = {"clubs": {**CLUBS["clubs"], "rate-per-s": rate, "burst": rate}}
    return configuration(version, [route("svc", "/")], tenants)


class TestRates(RelayTestCase):
    SERVICES = ("svc", "svc", "svc", "svc")

    def test_one_host_can_use_the_whole_rate(self):
        async def flood(fleet):
            # The first node has tried to reach others before they were started.
            peers = fleet.nodes[0]._peers
            hosts = [fleet.host(n) for n in range(1, 4)]
            await fleet.until(lambda: peers.hosts.reachable(hosts) == hosts)
            began = time.monotonic()
            statuses = [(await fleet.ask("/a"))[0] for _ in range(3 * RATE)]
            return statuses, time.monotonic() - began

        statuses, took = self.run_scenario(
            flood, self.SERVICES, configuration_with_rate()
        )
        served = statuses.count(200)
        self.assertLessEqual(set(statuses), {200, 429})
        # The host must get more than its own half of the burst, and never more than
        # the team's permits: the initial burst and those added during the run.
        self.assertGreater(served, RATE * 0.75)
        self.assertLessEqual(served, RATE + RATE * took + 1)

    def test_all_hosts_together_stay_within_the_rate(self):
        async def flood(fleet):
            began = time.monotonic()
            served = 0
            for n in range(4 * RATE):
                status, *_ = await fleet.ask("/a", n % 4)
                served += status == 200
            return served, time.monotonic() - began

        served, took = self.run_scenario(
            flood, self.SERVICES, configuration_with_rate()
        )
        self.assertLessEqual(served, RATE + RATE * took + 1)
        self.assertGreater(served, RATE * 0.75)

    def test_requests_refused_before_running_use_no_permits(self):
        async def flood(fleet):
            for n in range(4):
                fleet.list_server(n, state="draining")
            fleet_view = fleet.nodes[0]._fleet_view
            await fleet.until(
                lambda: all(s.leaving for s in fleet_view.directory.servers)
            )
            return {(await fleet.ask("/a"))[0] for _ in range(3 * RATE)}

        self.assertEqual(
            {503}, self.run_scenario(flood, self.SERVICES, configuration_with_rate())
        )
