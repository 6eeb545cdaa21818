"""What a host knows of one server, and run times of many kinds."""

import random
from dataclasses import replace

from testtools import TestCase

from damaskramp.dispatch import Load, SelectionSettings
from damaskramp.dispatch.expected_finish import FinishSelection, FinishSettings
from damaskramp.dispatch.kind_times import MAX_KINDS
from damaskramp.dispatch.server_record import ServerRecord
from damaskramp.fleet import BackendServer

SERVER = BackendServer("i-1", "draws", "10.0.0.1:80", "a", 8, False, 0.0, 0, 1)
SETTINGS = SelectionSettings()


class TestServerRecord(TestCase):
    def setUp(self):
        super().setUp()
        self.record = ServerRecord(8)

    def report(self, now, **fields):
        load = Load(4, 2, 8, 0.1, 0)._replace(**fields)
        self.record.record_load(load, 0, 1, now)

    def test_requests_of_other_hosts_fade_and_own_ones_stay(self):
        """Own requests in flight are in the report too, and must not count twice."""
        self.record.own_in_flight = 2
        self.report(10.0)
        self.assertEqual(4, self.record.other_in_flight)
        counts = [self.record.in_flight(SETTINGS, t) for t in (10.0, 10.5, 11.0, 99.0)]
        self.assertEqual([6.0, 4.0, 2.0, 2.0], counts)

    def test_a_failing_server_takes_longer(self):
        self.report(10.0)
        before = self.record.expected_time(SERVER, SETTINGS, 6.0)
        self.record.failures = 0.1
        after = self.record.expected_time(SERVER, SETTINGS, 6.0)
        self.assertAlmostEqual(3.0, after / before)
        state = self.record.queue_state(SERVER, SETTINGS, 0.0, 10.0)
        self.assertAlmostEqual(3.0, state.penalty)

    def test_a_server_that_has_just_started_is_slower_until_it_reports(self):
        cold = replace(SERVER, warmup=2.0)
        ratios = []
        for _ in range(2):
            times = [
                self.record.expected_time(server, SETTINGS, 6.0)
                for server in (cold, SERVER)
            ]
            ratios.append(times[0] / times[1])
            self.report(10.0)
        self.assertEqual([SETTINGS.cold_factor, 1.0], ratios)

    def test_a_refusal_counts_for_requests_of_its_rank_and_below(self):
        self.record.refused_rank, self.record.refusing_until = 1, 10.0
        accepted = [self.record.accepts(rank, 9.9) for rank in (0, 1, 2)]
        self.assertEqual([True, False, False], accepted)
        self.assertTrue(self.record.accepts(2, 10.0))

    def test_a_limit_ends_with_the_report_that_states_none(self):
        self.report(10.0, rate_limit=20.0, rate_wait=0.5, warmup_left=3.0)
        self.assertEqual({1: 10.5}, self.record.rate_room_at)
        self.assertEqual((20.0, 13.0), (self.record.rate_limit, self.record.cold_until))
        self.report(11.0)
        self.assertEqual(({}, 0.0), (self.record.rate_room_at, self.record.cold_until))


class TestKindsOfTheFleet(TestCase):
    def test_run_times_of_known_kinds_are_kept_with_many_routes(self):
        """At the limit, each report cleared the run times of all other kinds."""
        selection = FinishSelection(FinishSettings(), "a", random.Random(1))
        for n in [*range(MAX_KINDS), 0]:
            load = Load(1, 0, 8, 0.1, 0, pace=1.0, run_time=0.1 + n)
            selection.record(SERVER, load, 1, f"k-{n}", 1.0)
        self.assertEqual(MAX_KINDS, len(selection._run_times))
        self.assertEqual(MAX_KINDS, len(selection._records["i-1"].run_times))
