"""Pace of a server, and what a server's node does when it changes."""

import random

from testtools import TestCase

from damaskramp.dispatch import (
    QueueDecision,
    ServerPace,
    ServerPaceSettings,
    SlotQueue,
    SlotSettings,
    Work,
    parse_pace,
)


class TestParsing(TestCase):
    def test_only_the_fourth_figure_is_a_pace(self):
        self.assertEqual(1.0, parse_pace(b"4,0,8,100"))
        self.assertEqual(0.8, parse_pace(b" 4, 0, 8, 80 "))
        self.assertEqual(2.505, parse_pace(b"4,0,8,250.5"))

    def test_figures_that_can_not_be_read_state_no_pace(self):
        for load in (b"", b"4,0,8", b"4,0,8,", b"4,0,8,x", b"4,0,8,100,1", b"250"):
            self.assertEqual(0.0, parse_pace(load), load)
        for figure in (b"0", b"-3", b"nan", b"inf", b"\xff", b"1e999"):
            self.assertEqual(0.0, parse_pace(b"4,0,8," + figure), figure)

    def test_extreme_figures_are_bounded(self):
        self.assertEqual(100.0, parse_pace(b"4,0,8,99999999"))
        self.assertEqual(0.05, parse_pace(b"4,0,8,0.0001"))


class TestServerPace(TestCase):
    """A noisy neighbour must show in the pace and not in the run times."""

    def setUp(self):
        super().setUp()
        self.pace = ServerPace(ServerPaceSettings())
        self.random = random.Random(3)
        self.now = 0.0

    def state(self, pace, seconds, spread=0.3):
        """State a pace a hundred times a second."""
        for _ in range(round(seconds * 100)):
            self.now += 0.01
            self.pace.record_stated(
                pace * self.random.uniform(1 - spread, 1 + spread), self.now
            )

    def test_single_statements_are_smoothed_and_a_change_shows_soon(self):
        self.state(1.0, 2.0)
        self.assertAlmostEqual(1.0, self.pace.value(self.now), delta=0.25)
        self.state(2.5, 0.2)
        self.assertGreater(self.pace.value(self.now), 2.0)
        self.assertGreater(self.pace.change(self.now), 1.4)
        self.state(1.0, 0.2)
        self.assertLess(self.pace.value(self.now), 1.4)

    def test_statement_expires(self):
        self.state(2.5, 0.5)
        self.assertEqual(0.0, self.pace.value(self.now + 1.1))
        self.assertEqual(1.0, self.pace.change(self.now + 1.1))

    def test_run_times_are_those_at_the_usual_pace(self):
        for noisy in (False, True) * 20:
            self.state(2.5 if noisy else 1.0, 0.6)
            self.pace.record_run("list", 0.25 if noisy else 0.1, self.now)
        self.assertAlmostEqual(0.1, self.pace.run_time("list"), delta=0.015)

    def test_run_time_is_divided_by_the_mean_pace_of_the_run(self):
        """The pace at its end would make a run through a noisy time look short."""
        self.state(1.0, 1.0, spread=0.0)
        self.state(3.0, 0.5, spread=0.0)
        self.pace.record_run("list", 1.0, self.now)
        self.assertAlmostEqual(0.5, self.pace.run_time("list"), delta=0.05)

    def test_run_times_of_kinds_are_not_mixed(self):
        self.state(1.0, 1.0, spread=0.0)
        for _ in range(20):
            self.pace.record_run("list", 0.5, self.now)
            self.pace.record_run("lookup", 0.01, self.now)
        self.assertAlmostEqual(0.5, self.pace.run_time("list"))
        self.assertAlmostEqual(0.01, self.pace.run_time("lookup"))

    def test_nothing_is_kept_of_a_server_that_states_no_pace(self):
        self.pace.record_run("list", 0.1, 5.0)
        self.assertEqual(0.0, self.pace.run_time("list"))
        self.assertEqual(0.0, self.pace.value(5.0))


class TestQueue(TestCase):
    def setUp(self):
        super().setUp()
        self.queue = SlotQueue(SlotSettings(), 20)
        self.pace = ServerPace(ServerPaceSettings())

    def offer(self, fail_fast):
        work = Work("list", False, 1, 2.0, 4.0)
        work.fail_fast = fail_fast
        return work, self.queue.offer(work, 0.0)

    def fill(self):
        """Queue requests that may be refused for another server, and a last one."""
        for _ in range(self.queue.limit):
            self.offer(False)
        waiting = [self.offer(True) for _ in range(40)]
        self.last, decision = self.offer(False)
        self.assertIs(QueueDecision.WAIT, decision)
        return [work for work, decision in waiting if decision is QueueDecision.WAIT]

    def test_load_without_a_stated_pace_is_as_before(self):
        self.fill()
        load = self.queue.load_with_pace(self.pace, "list", False, 1, 0.0)
        self.assertEqual(self.queue.load, load)

    def test_load_has_what_the_kind_and_the_rank_need(self):
        self.fill()
        for step in range(101):
            self.pace.record_stated(2.0, step / 100)
        self.pace.record_run("list", 0.1, 1.0)
        load = self.queue.load_with_pace(self.pace, "list", False, 1, 1.0)
        self.assertAlmostEqual(2.0, load.pace)
        self.assertAlmostEqual(0.05, load.run_time, places=3)
        more_important = self.queue.load_with_pace(self.pace, "list", False, 0, 1.0)
        self.assertLess(more_important.queue_wait, load.queue_wait)

    def test_waiting_work_is_released_when_the_server_becomes_slow(self):
        waiting = self.fill()
        self.assertEqual([], self.queue.release_waiting(0.1, 1.2))
        released = self.queue.release_waiting(0.1, 2.5)
        self.assertTrue(released)
        self.assertLess(len(released), len(waiting))
        self.assertLessEqual(set(map(id, released)), set(map(id, waiting)))
        self.assertEqual("waiting", self.last.state)
        self.assertEqual(self.queue.waiting, len(waiting) + 1 - len(released))
