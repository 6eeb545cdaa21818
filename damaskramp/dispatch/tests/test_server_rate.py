"""Requests to a server that limits its rate, under a virtual clock."""

from testtools import TestCase

from damaskramp.dispatch import (
    ServerRate,
    ServerRateSettings,
)
from damaskramp.dispatch.tests.played_server import PlayedServer

WINDOW_SECONDS = 4.0


class LimitedServer(PlayedServer):
    """Server with a limit, offered requests from time 0 on."""

    def __init__(self, limit, run_seconds=0.02, new_run_seconds=0.02):
        super().__init__(run_seconds=new_run_seconds, call_run_seconds=run_seconds)
        self.queue.rate.record_limit(limit, 0.0)

    def play(self, demand, seconds):
        super().play(demand, 0.0, seconds)

    def waits(self):
        return zip(self.waited, self.started, strict=True)

    def most_in_window(self):
        return max(
            sum(0 <= at - start <= WINDOW_SECONDS for at in self.reads)
            for start in self.reads
        )


class TestLimitedQueue(TestCase):
    def test_limit_is_kept_and_used(self):
        for limit in (0.3, 0.7, 3.0, 8.0, 40.0, 300.0):
            server = LimitedServer(limit)
            server.play({(False, 1): 3 * limit + 20, (True, 1): limit}, 20.0)
            allowed = WINDOW_SECONDS * limit + max(2.0, 0.5 * limit) + 1
            self.assertLessEqual(server.most_in_window(), allowed)
            self.assertGreaterEqual(len(server.reads), 0.9 * 20.0 * limit)

    def test_expiry_ahead_of_time_earns_no_tokens(self):
        server = LimitedServer(8.0)
        server.play({(False, 1): 60}, 20.0)
        self.assertLessEqual(len(server.reads), 8.0 * 20.0 + 4.0)

    def test_important_requests_go_first(self):
        server = LimitedServer(10.0)
        server.play({(False, 0): 6.0, (False, 3): 60.0}, 30.0)
        refused = [work for work in server.refused if work.priority == 0]
        self.assertLessEqual(len(refused), 0.02 * 30.0 * 6.0)
        self.assertGreater(server.count(False, 3), 30)

    def test_calls_and_new_requests_share_the_limit(self):
        server = LimitedServer(20.0)
        server.play({(False, 1): 60.0, (True, 1): 60.0}, 20.0)
        calls, new = server.count(True, 1), server.count(False, 1)
        self.assertGreater(calls, 2 * new)
        self.assertGreater(new, 0.1 * calls)

    def test_long_new_requests_keep_their_share_beside_short_calls(self):
        server = LimitedServer(50.0, run_seconds=0.015, new_run_seconds=0.15)
        server.play({(False, 1): 20.0, (True, 1): 150.0}, 20.0)
        calls, new = server.count(True, 1), server.count(False, 1)
        self.assertGreater(new, 0.15 * calls)

    def test_requests_that_fail_fast_wait_no_longer_than_they_run(self):
        server = LimitedServer(50.0, run_seconds=0.015, new_run_seconds=0.15)
        server.fail_fast = True
        server.play({(False, 1): 30.0, (True, 1): 60.0}, 20.0)
        waits = sorted(wait for wait, work in server.waits() if not work.is_call)
        self.assertGreater(len(waits), 100)
        self.assertLess(waits[int(0.95 * len(waits))], 0.2)

    def test_new_requests_do_not_wait_long_when_a_limit_has_just_begun(self):
        server = LimitedServer(50.0, run_seconds=0.015, new_run_seconds=0.15)
        server.fail_fast = True
        server.play({(False, 1): 60.0, (True, 1): 150.0}, 2.0)
        waits = [wait for wait, work in server.waits() if not work.is_call]
        self.assertLess(max(waits), 0.15)

    def test_waiting_requests_start_when_the_limit_ends(self):
        server = LimitedServer(0.5)
        server.play({(True, 1): 20.0}, 2.0)
        self.assertGreater(server.queue.waiting, 0)
        server.queue.rate.record_no_limit(sent_at=1.0)
        list(server.queue.next_runs(2.0))
        self.assertEqual(0, server.queue.waiting)


class TestServerRate(TestCase):
    def setUp(self):
        super().setUp()
        self.settings = ServerRateSettings()
        self.rate = ServerRate(self.settings)

    def test_answer_to_an_older_request_ends_no_limit(self):
        self.rate.record_limit(5.0, now=10.0)
        self.rate.record_no_limit(sent_at=9.5)
        self.assertEqual(5.0, self.rate.limit)
        self.rate.record_no_limit(sent_at=10.5)
        self.assertIsNone(self.rate.limit)

    def test_lower_limit_takes_saved_tokens_away(self):
        self.rate.record_limit(100.0, now=0.0)
        self.rate.refill(10.0)
        self.rate.record_limit(4.0, now=10.0)
        started = 0
        while self.rate.may_start(False, 1):
            self.rate.record_start(10.0)
            started += 1
        self.assertEqual(2, started)

    def test_limit_of_another_host_does_not_replace_an_observed_one(self):
        self.rate.adopt_limit(3.0, now=0.0)
        self.assertEqual(3.0, self.rate.limit)
        self.rate.record_limit(7.0, now=1.0)
        self.rate.adopt_limit(3.0, now=2.0)
        self.assertEqual(7.0, self.rate.limit)
        self.rate.record_no_limit(sent_at=3.0)
        self.rate.adopt_limit(3.0, now=4.0)
        self.assertIsNone(self.rate.limit)

    def test_unreadable_limit_keeps_the_last_one_or_halves_the_rate(self):
        self.rate.record_limit(7.0, now=0.0)
        self.rate.record_unreadable_limit(now=1.0)
        self.assertEqual(7.0, self.rate.limit)
        other = ServerRate(self.settings)
        for number in range(400):
            other.record_start(number / 100)
        other.record_unreadable_limit(now=4.0)
        self.assertAlmostEqual(50.0, other.limit, delta=5.0)

    def test_another_server_starts_without_a_limit(self):
        self.rate.record_limit(1.0, now=0.0)
        self.rate.reset()
        self.assertIsNone(self.rate.limit)
