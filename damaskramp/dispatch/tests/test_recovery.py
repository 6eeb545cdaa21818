"""Return of a whole fleet after a loss of power, with all callers at once.

A server that comes back cold and gets more requests than it tolerates crashes and comes
back cold again, so that a fleet may never recover.
"""

from testtools import TestCase

from damaskramp.dispatch import WarmupSettings
from damaskramp.dispatch.tests.recovery_fleet import Fleet
from damaskramp.dispatch.tests.recovery_server import TOLERATED

SETTINGS = WarmupSettings(1.5, 8.0)
BOUND = 16.25
"""Most requests to a cold server within a second: 5.5 x 1.5 + 8."""
RECOVERY_SECONDS = 15.0
"""Time after which at least a quarter of the requests must be served."""


def play(settings, callers=1000, seed=1, until=25.0, tolerated=TOLERATED):
    fleet = Fleet(settings, callers, seed, tolerated)
    fleet.clock.advance(until)
    return fleet


class TestRecovery(TestCase):
    def test_fleet_recovers_without_a_crash(self):
        for seed in (1, 2, 3):
            fleet = play(SETTINGS, seed=seed)
            self.assertEqual(0, sum(server.crashes for server in fleet.servers))
            # A server that crashes gets no more requests, which hides how many came.
            sturdy = play(SETTINGS, seed=seed, until=4.0, tolerated=float("inf"))
            most = max(server.most_while_cold for server in sturdy.servers)
            self.assertLessEqual(most, BOUND)
            after = 0.7 + RECOVERY_SECONDS
            self.assertGreaterEqual(fleet.share_served(after, 25.0), 0.25)

    def test_cold_servers_are_used_while_they_warm_up(self):
        # Two calls follow each request, so the deeper service bounds what is served.
        fleet = play(SETTINGS, until=3.6)
        served = sum(outcome == "served" for _, _, outcome in fleet.outcomes)
        self.assertGreater(served, 0)
        for host in fleet.hosts.values():
            self.assertGreaterEqual(host.server.most_while_cold, 5)

    def test_no_server_crashes_under_a_demand_far_above_the_capacity(self):
        fleet = play(SETTINGS, callers=3000, until=8.0)
        self.assertEqual(0, sum(server.crashes for server in fleet.servers))

    def test_refused_callers_do_not_return_at_once(self):
        # Callers who are told the same time would repeat the surge of the return.
        fleet = play(SETTINGS, until=6.0)
        sent = sorted(at for at, _, _ in fleet.outcomes if at > 1.0)
        busiest = max(sum(0.0 <= at - start < 0.1 for at in sent) for start in sent)
        self.assertLess(busiest, 0.25 * 1000)

    def test_fleet_without_the_limit_does_not_recover(self):
        # Shows that the play has the fault that the limit is there for.
        fleet = play(WarmupSettings(), until=20.0)
        self.assertGreater(sum(server.crashes for server in fleet.servers), 50)
        after = 0.7 + RECOVERY_SECONDS
        self.assertLess(fleet.share_served(after, 20.0), 0.25)
