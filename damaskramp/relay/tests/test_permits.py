"""Borrowing of permits when a lender does not answer."""

import random

from testtools import TestCase

from damaskramp.core import Counters
from damaskramp.core.timers import VirtualTimers
from damaskramp.dispatch import SharedRateSettings, Suspects, SuspectSettings
from damaskramp.fleet import BackendServer, FleetConfiguration, Team
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.permits import Permits

TEAM = Team("clubs", frozenset(), None, rate=3.0, burst=3.0)
SHARE_HOSTS = 3


class FakePeers:
    """Fake of the other hosts: the first one asked stays silent, the others lend."""

    def __init__(self):
        self.hosts = self
        self.asked = []
        self.late_callback = None

    def reachable(self, hosts):
        return [host for host in hosts if host != "10.0.0.1"]

    def in_own_zone(self, hosts):
        return set()

    def borrow(self, host, team, min_permits, max_permits, done):
        self.asked.append(host)
        if len(self.asked) == 1:
            self.late_callback = done
        else:
            done(1.0, 0.0)

    def return_permits(self, host, team, amount):
        raise AssertionError("whole permits are not given back")


class TestSilentLender(TestCase):
    """A lender that never answers must not hold up a request or lose its permits.

    The host has used up its own share and borrows; the first lender stays silent.
    """

    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        fleet_view = FleetView(
            "10.0.0.1",
            "a",
            "draws",
            "10.0.0.1:80",
            3.5,
            lambda: self.timers.now,
            Suspects(SuspectSettings()),
        )
        fleet_view.directory.merge(
            BackendServer(
                f"i-{n}", "draws", f"10.0.0.{n}:80", "abc"[n % 3], 8, False, 0.0, 0, n
            )
            for n in range(1, 7)
        )
        fleet_view.adopt_configuration(FleetConfiguration(1, (), (TEAM,)))
        self.peers = FakePeers()
        self.permits = Permits(
            SharedRateSettings(),
            fleet_view,
            self.peers,
            self.timers,
            Counters(),
            random.Random(1),
        )
        self.admitted = []
        while not self.peers.asked:
            # The permits of this host's own share are used up first.
            self.permits.admit(TEAM, self.admitted.append)
        self.admitted_before = len(self.admitted)

    def test_silent_lender_times_out_and_another_is_asked(self):
        self.timers.advance(0.1)
        self.assertEqual([True], self.admitted[self.admitted_before :])
        self.assertEqual(2, len(set(self.peers.asked)))

    def test_late_permits_are_credited(self):
        self.timers.advance(0.1)
        self.peers.late_callback(1.0, 0.0)
        self.permits.admit(TEAM, self.admitted.append)
        self.assertEqual([True, True], self.admitted[self.admitted_before :])
        self.assertEqual(2, len(self.peers.asked))
