"""Limit on the requests to a cold server, under a virtual clock.

A server that has just joined got 18 requests within a second, and servers that came
back cold crashed again and again.
"""

from testtools import TestCase

from damaskramp.dispatch import (
    HealthAnswer,
    ServerRate,
    ServerRateSettings,
    WarmupSettings,
)
from damaskramp.dispatch.arrival_window import SPAN_SECONDS
from damaskramp.dispatch.tests.cold_servers import (
    RATE,
    WARMUP,
    cold_server,
    entry,
    most_in_second,
    warm_server,
)
from damaskramp.dispatch.tests.played_server import PlayedServer
from damaskramp.fleet import ServiceWarmup

BOUND = 16.25
"""Most requests within one second: 5.5 x 1.5 + 8."""


class TestLimit(TestCase):
    def test_newly_listed_server_is_limited_from_its_first_request(self):
        cold = warm_server()
        cold.record_entry(entry(), 3.0, 10.0)
        server = PlayedServer(cold)
        server.play({(False, 1): 200.0}, 10.0, 12.9)
        self.assertLessEqual(most_in_second(server.reads), BOUND)
        self.assertLessEqual(len(server.reads), RATE * 2.9 + cold.burst + 1)
        self.assertGreaterEqual(len(server.reads), 0.9 * RATE * 2.9)

    def test_exact_count_includes_what_was_sent_to_the_warm_server(self):
        # A server that restarts gets no second burst for the second of its restart.
        cold = warm_server()
        server = PlayedServer(cold, run_seconds=0.02)
        server.play({(False, 1): 15.0}, 10.0, 11.0)
        sent = len(server.reads)
        server.break_connections(11.0)
        cold.assume_cold(11.0)
        server.play({(False, 1): 200.0}, 11.0, 13.9)
        self.assertGreater(sent, 8)
        self.assertLessEqual(most_in_second(server.reads), BOUND)

    def test_server_that_reads_late_stays_within_the_bound(self):
        # The server is frozen from 11.0 to 13.5 and then reads everything at once.
        cold = warm_server()
        cold.record_entry(entry(), 6.0, 10.0)
        server = PlayedServer(
            cold, read_delay=lambda now: 13.5 - now if 11.0 <= now < 13.5 else 0.0
        )
        server.play({(True, 1): 50.0}, 10.0, 16.0)
        self.assertLessEqual(most_in_second(server.reads), BOUND)
        self.assertGreater(len(server.reads), 12)

    def test_bound_holds_for_other_rates_and_for_slow_servers(self):
        for rate, overshoot, slack, run_seconds in (
            (0.5, 1.5, 2.0, 0.1),
            (5.5, 1.0, 1.0, 0.1),
            (40.0, 1.5, 8.0, 0.3),
            (5.5, 1.5, 8.0, 1.5),
        ):
            settings = WarmupSettings(overshoot, slack)
            cold = cold_server(warmup=ServiceWarmup(rate, 20.0), settings=settings)
            server = PlayedServer(cold, run_seconds=run_seconds)
            server.play({(False, 1): 3 * rate + 20}, 0.0, 12.0)
            self.assertLessEqual(most_in_second(server.reads), rate * overshoot + slack)
            if overshoot > 1.0:
                self.assertGreaterEqual(len(server.reads), 0.8 * 10.9 * rate)

    def test_slack_is_left_for_what_was_sent_to_the_warm_server(self):
        settings = WarmupSettings(1.0, 8.0)
        server = PlayedServer(
            cold_server(warmup=ServiceWarmup(RATE, 20.0), settings=settings)
        )
        server.play({(False, 1): 100.0}, 0.0, 10.0)
        self.assertLessEqual(most_in_second(server.reads), 7)

    def test_health_checks_count_and_one_is_reserved(self):
        cold = cold_server()
        self.assertEqual(int(BOUND) - 1, cold.room(2.0))
        cold.record_check(2.0)
        self.assertEqual(int(BOUND) - 2, cold.room(2.0))

    def test_bound_below_one_request_allows_none(self):
        cold = cold_server(
            warmup=ServiceWarmup(0.25, 5.0), settings=WarmupSettings(1.5, 0.5)
        )
        server = PlayedServer(cold)
        server.play({(False, 1): 50.0}, 0.0, 4.9)
        self.assertEqual([], server.reads)

    def test_restarted_node_does_not_spend_the_second_twice(self):
        warmup = ServiceWarmup(RATE, 30.0)
        before = PlayedServer(cold_server(now=-5.0, warmup=warmup))
        before.play({(False, 1): 200.0}, 0.0, 1.0)
        self.assertGreater(len(before.reads), 5)
        after = PlayedServer(cold_server(now=1.0))
        after.play({(False, 1): 200.0}, 1.0, 3.0)
        self.assertGreater(len(after.reads), 0)
        self.assertLessEqual(most_in_second(before.reads + after.reads), BOUND)
        self.assertGreaterEqual(min(after.reads), 1.0 + SPAN_SECONDS)

    def test_nothing_is_limited_without_settings_or_without_a_rate(self):
        # Deployments that state no bound must behave as before.
        for cold in (
            cold_server(settings=WarmupSettings()),
            cold_server(settings=WarmupSettings(1.5, None)),
            cold_server(warmup=None),
            None,
        ):
            if cold is not None:
                cold.record_entry(entry(), 3.0, 0.0)
                cold.assume_cold(0.0)
                self.assertFalse(cold.check_due(1.0))
                self.assertEqual(5.0, cold.expected_wait(5.0, 0.1))
            server = PlayedServer(cold)
            server.play({(False, 1): 100.0}, 0.0, 2.0)
            self.assertEqual(0.0, server.queue.load.rate_limit)
            self.assertEqual(200, len(server.reads))

    def test_request_that_did_not_reach_the_server_gives_its_token_back(self):
        # A server that rejects requests for its predecessor would get none of its own.
        rate = ServerRate(ServerRateSettings(), cold_server(now=-2.0))
        rate.refill(0.0)
        rate.record_start(0.0)
        self.assertFalse(rate.may_start(False, 1))
        rate.record_end(0.0, reached=False)
        self.assertTrue(rate.may_start(False, 1))
        stated = ServerRate(ServerRateSettings())
        stated.record_limit(4.0, 0.0)
        stated.record_start(0.0)
        stated.record_end(0.0, reached=False)
        self.assertFalse(stated.may_start(False, 1))

    def test_stated_limit_of_a_cold_server_counts_where_it_is_smaller(self):
        cold = cold_server()
        server = PlayedServer(cold)
        server.queue.rate.record_limit(2.0, 0.0)
        self.assertEqual(2.0, server.queue.rate.limit)
        server.queue.rate.record_limit(50.0, 0.1)
        self.assertEqual(RATE, server.queue.rate.limit)
        server.queue.rate.record_no_limit(sent_at=0.2)
        server.queue.rate.refill(0.2)
        self.assertEqual(RATE, server.queue.rate.limit)
        cold.record_health(HealthAnswer(warmup_left=0.0), 0.2, 0.3)
        server.queue.rate.refill(0.3)
        self.assertIsNone(server.queue.rate.limit)

    def test_configuration_that_states_the_rate_later_limits_at_once(self):
        cold = cold_server(warmup=None)
        cold.configure(WARMUP)
        cold.record_entry(entry(), 2.0, 20.0)
        self.assertEqual(RATE, cold.rate(20.0))


class TestScarceCapacity(TestCase):
    def play(self, demand, seconds=20.0):
        server = PlayedServer(cold_server(warmup=ServiceWarmup(RATE, 100.0)))
        server.play(demand, 2.0, 2.0 + seconds)
        return server

    def test_calls_go_before_new_requests(self):
        # A call that is refused wastes the work of the services above.
        server = self.play({(True, 1): 20.0, (False, 0): 20.0})
        calls, new = server.count(True, 1), server.count(False, 0)
        self.assertGreater(calls, 2 * new)
        self.assertGreater(new, 0)

    def test_more_important_requests_go_first(self):
        server = self.play({(False, 0): 3.0, (False, 3): 60.0})
        refused = sum(work.priority == 0 for work in server.refused)
        self.assertLessEqual(refused, 0.1 * 3.0 * 20.0)
        self.assertGreater(server.count(False, 3), 10)

    def test_requests_start_only_while_they_can_end_in_time(self):
        server = self.play({(False, 1): 60.0})
        self.assertLess(max(server.waited), 1.0)
