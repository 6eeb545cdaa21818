"""What a node knows of its server's warm-up, under a virtual clock.

A warm server that is taken for a cold one gets its cold rate, and a cold one that is
taken for warm crashes.
"""

import itertools

from testtools import TestCase

from damaskramp.dispatch import (
    HealthAnswer,
    ServerRate,
    ServerRateSettings,
    Warmth,
)
from damaskramp.dispatch.tests.cold_servers import (
    RATE,
    cold_server,
    entry,
    warm_server,
)
from damaskramp.fleet import ServerId


class TestEndOfWarmup(TestCase):
    def test_rate_grows_step_by_step_after_the_warmup(self):
        # A queue that is released at once would meet the server with all its slots.
        cold = warm_server()
        cold.record_entry(entry(), 2.0, 10.0)
        rates = [cold.rate(10.0 + t / 10) for t in range(40)]
        self.assertEqual([RATE] * 21, rates[:21])
        limited = [rate for rate in rates if rate is not None]
        self.assertEqual(sorted(limited), limited)
        self.assertTrue(all(b <= 1.4 * a for a, b in itertools.pairwise(limited)))
        self.assertIsNone(rates[32])

    def test_rate_grows_after_an_answer_that_ends_a_known_warmup(self):
        cold = warm_server()
        cold.record_entry(entry(), 2.0, 10.0)
        cold.record_health(HealthAnswer(warmup_left=0.0), 11.0, 11.0)
        self.assertIs(Warmth.WARM, cold.warmth(11.0))
        self.assertEqual(RATE, cold.rate(11.0))
        self.assertIsNone(cold.rate(12.0))

    def test_server_found_warm_is_not_limited(self):
        cold = cold_server()
        cold.record_health(HealthAnswer(warmup_left=0.0), 0.5, 0.5)
        self.assertIsNone(cold.rate(0.5))
        self.assertEqual(0.0, cold.wait(5, 0.5))
        self.assertTrue(cold.may_start(0.5))

    def test_assumption_without_an_answer_ends_with_the_warmup(self):
        cold = cold_server()
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(3.0))
        self.assertIs(Warmth.WARM, cold.warmth(3.2))


class TestKnowledge(TestCase):
    def test_unreachable_server_is_cold_until_its_newer_entry(self):
        cold = warm_server()
        cold.record_entry(entry(started=1), 0.0, 10.0)
        cold.assume_cold(10.5)
        cold.record_entry(entry(started=1), 0.0, 10.6)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(10.6))
        cold.record_entry(entry(started=2), 1.0, 10.8)
        self.assertIs(Warmth.COLD, cold.warmth(10.8))
        self.assertIs(Warmth.WARM, cold.warmth(12.0))

    def test_entry_of_an_earlier_run_does_not_end_the_assumption_of_a_new_node(self):
        cold = cold_server()
        cold.record_entry(entry(started=1), 0.0, 0.1)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(0.2))

    def test_each_failure_extends_the_assumption(self):
        # A server may be down for longer than its warm-up lasts.
        cold = warm_server()
        for at in (10.0, 12.0, 14.0):
            cold.assume_cold(at)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(16.9))
        self.assertIs(Warmth.WARM, cold.warmth(17.2))

    def test_failure_does_not_shorten_a_known_warmup(self):
        cold = warm_server()
        cold.record_entry(entry(), 6.0, 10.0)
        cold.assume_cold(10.5)
        self.assertIsNot(Warmth.WARM, cold.warmth(16.0))
        self.assertIs(Warmth.WARM, cold.warmth(16.2))

    def test_assumption_that_no_check_decides_is_taken_as_lasting(self):
        cold = warm_server()
        cold.record_break(10.0)
        self.assertTrue(cold.is_unsettled(10.9))
        self.assertFalse(cold.is_unsettled(11.0))

    def test_health_answer_decides(self):
        cold = warm_server()
        cold.assume_cold(10.0)
        self.assertTrue(cold.check_due(10.0))
        cold.record_check(10.0)
        cold.record_health(HealthAnswer(ServerId("i-1"), 1.25), 10.0, 10.01)
        self.assertIs(Warmth.COLD, cold.warmth(10.01))
        self.assertAlmostEqual(1.35, cold.seconds_left(10.01))
        self.assertFalse(cold.check_due(11.0))

    def test_health_answer_from_before_the_break_is_ignored(self):
        cold = warm_server()
        cold.assume_cold(10.0)
        cold.record_check(10.0)
        cold.assume_cold(10.1)
        cold.record_health(HealthAnswer(ServerId("i-1"), 0.0), 10.0, 10.2)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(10.2))
        self.assertTrue(cold.check_due(10.6))

    def test_health_checks_are_rare(self):
        # Each check costs the server work; a server whose connections break often must
        # not be asked each time.
        cold = warm_server()
        checks = 0
        for tick in range(1000):
            now = 10.0 + tick / 100
            cold.assume_cold(now)
            if cold.check_due(now):
                cold.record_check(now)
                checks += 1
        self.assertLessEqual(checks, 21)

    def test_what_lived_before_the_break_proves_that_the_server_lives(self):
        # A server of which one connection breaks would get its cold rate each time.
        cold = warm_server()
        cold.record_break(10.0)
        self.assertEqual(10.0, cold.survival_proof_before)
        cold.record_alive(since=9.9, now=10.005)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(10.005))
        cold.record_alive(since=10.01, now=10.1)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(10.1))
        cold.record_alive(since=9.9, now=10.1)
        self.assertIs(Warmth.WARM, cold.warmth(10.1))
        self.assertIsNone(cold.rate(10.1))
        self.assertIsNone(cold.survival_proof_before)

    def test_sign_of_life_after_a_second_break_does_not_hide_the_first(self):
        cold = warm_server()
        cold.record_break(10.0)
        cold.record_break(10.8)
        cold.record_alive(since=10.7, now=10.9)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(10.9))

    def test_sign_of_life_does_not_end_a_requested_assumption(self):
        # The servers of a zone that is taken back may be cold without a restart.
        for assume in (
            lambda cold: cold.assume_cold(10.0),
            lambda cold: (cold.record_break(9.9), cold.assume_cold(10.0)),
            lambda cold: (cold.assume_cold(9.9), cold.record_break(10.0)),
        ):
            cold = warm_server()
            assume(cold)
            cold.record_alive(since=5.0, now=10.1)
            self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(10.1))

    def test_short_wait_is_told_until_the_first_check_has_decided(self):
        # Others would avoid a warm server for a second after one broken connection.
        cold = warm_server()
        rate = ServerRate(ServerRateSettings(), cold)
        cold.record_break(10.0)
        rate.refill(10.0)
        for _ in range(20):
            rate.record_start(10.0)
        self.assertFalse(rate.may_start(False, 1))
        self.assertLessEqual(rate.wait(False, 1, 0), 0.1)
        rate.record_limit(2.0, 10.0)
        self.assertGreater(rate.wait(False, 1, 0), 0.5)
        rate.record_no_limit(sent_at=10.01)
        cold.record_check(10.05)
        rate.refill(10.2)
        self.assertGreater(rate.wait(False, 1, 0), 0.5)

    def test_restart_beside_a_running_node_is_cold_by_its_entry(self):
        # No connection was open, so only the entry shows the restart.
        cold = warm_server()
        cold.record_entry(entry(started=1), 0.0, 10.0)
        cold.record_entry(entry(started=2), 2.5, 11.0)
        self.assertIs(Warmth.COLD, cold.warmth(11.0))
        self.assertTrue(cold.check_due(11.0))

    def test_later_reports_of_a_warmup_cost_no_further_check(self):
        cold = warm_server()
        cold.record_entry(entry(started=2), 3.0, 10.0)
        cold.record_check(10.0)
        cold.record_health(HealthAnswer(ServerId("i-1"), 2.9), 10.0, 10.0)
        for number in range(1, 6):
            at = 10.0 + number / 2
            cold.record_entry(entry(started=2), 3.3 - number / 2, at)
            self.assertFalse(cold.check_due(at))
        self.assertIs(Warmth.WARM, cold.warmth(13.1))

    def test_end_of_a_warmup_is_verified_once(self):
        # A server that got no requests may be cold for longer than its entry said.
        cold = warm_server()
        cold.record_entry(entry(started=2), 3.0, 10.0)
        cold.record_check(10.0)
        cold.record_health(HealthAnswer(ServerId("i-1"), 3.0), 10.0, 10.0)
        due = [10.0 + t / 100 for t in range(320) if cold.check_due(10.0 + t / 100)]
        self.assertGreater(due[0], 12.8)
        cold.record_check(12.9)
        cold.record_health(HealthAnswer(ServerId("i-1"), 2.0), 12.9, 12.9)
        self.assertIs(Warmth.COLD, cold.warmth(14.8))
        cold.record_check(14.9)
        cold.record_health(HealthAnswer(ServerId("i-1"), 0.1), 14.9, 14.9)
        self.assertFalse(any(cold.check_due(14.9 + t / 100) for t in range(100)))
        self.assertIs(Warmth.WARM, cold.warmth(15.2))

    def test_newer_entry_of_a_server_without_a_start_time_has_another_id(self):
        cold = warm_server()
        cold.record_entry(entry(started=0, name="i-1"), 0.0, 10.0)
        cold.assume_cold(10.1)
        cold.record_entry(entry(started=0, name="i-1"), 0.0, 10.2)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(10.2))
        cold.record_entry(entry(started=0, name="i-2"), 1.0, 10.3)
        self.assertIs(Warmth.COLD, cold.warmth(10.3))

    def test_server_that_denies_its_listed_id_is_cold(self):
        cold = warm_server()
        cold.record_misdirected(ServerId("i-1"), 10.0)
        self.assertIs(Warmth.ASSUMED_COLD, cold.warmth(10.0))
        cold.record_check(10.0)
        cold.record_health(HealthAnswer(ServerId("i-2"), 0.0), 10.0, 10.01)
        # The list still names the server that was replaced.
        cold.record_misdirected(ServerId("i-1"), 10.1)
        self.assertIs(Warmth.WARM, cold.warmth(10.1))
