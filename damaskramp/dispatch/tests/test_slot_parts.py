"""Parts of a server's queue: slots, the two queues, limits and run times."""

import random

from testtools import TestCase

from damaskramp.dispatch import SlotQueue, SlotSettings, Work
from damaskramp.dispatch.kind_times import MAX_KINDS, KindTimes
from damaskramp.dispatch.outcome_limit import OutcomeLimitSettings
from damaskramp.dispatch.outcome_limits import OutcomeLimits
from damaskramp.dispatch.server_slots import MAX_INSPECTED_RUNS, ServerSlots
from damaskramp.dispatch.team_shares import TeamWeights
from damaskramp.dispatch.two_queues import TwoQueues


def _work(is_call=False, priority=1, cost=1.0, started=0.0):
    work = Work("k", is_call, priority, 9.0, 9.0)
    work.cost, work.started = cost, started
    return work


class TestKindTimes(TestCase):
    def test_kinds_of_earlier_configurations_are_not_kept(self):
        """Names of routes come from other nodes; their number is not limited there."""
        queue = SlotQueue(SlotSettings(), 4)
        for n in range(3 * MAX_KINDS):
            work = Work(f"route-{n}", False, 1, 1e9, 1e9)
            queue.offer(work, float(n))
            queue.finish(work, n + 0.1, True)
        self.assertLessEqual(len(queue._service_times), MAX_KINDS)

    def test_a_known_kind_stays_at_the_limit(self):
        times = KindTimes(0.1)
        for n in range(MAX_KINDS):
            times.record(f"k-{n}", 1.0)
        times.record("k-0", 2.0)
        self.assertEqual((MAX_KINDS, 1.1), (len(times), times["k-0"]))


class TestServerSlots(TestCase):
    """A wait that is too short makes requests late; one too long refuses them."""

    def setUp(self):
        super().setUp()
        self.slots = ServerSlots(0.95, 1.4)

    def time_to_free(self, now):
        return self.slots.time_to_free(lambda kind: 0.4, now)

    def test_a_resize_reports_whether_the_limit_has_changed(self):
        resized = [self.slots.resize(n) for n in (100, 100, 20, 1, 0)]
        self.assertEqual([True, False, True, True, False], resized)
        self.assertEqual(1, self.slots.limit)

    def test_the_oldest_run_frees_its_slot_first(self):
        self.slots.resize(2)
        self.assertEqual(0.0, self.time_to_free(0.0))
        self.slots.runs |= {_work(started=0.0), _work(started=0.2)}
        self.assertAlmostEqual(0.15, self.time_to_free(0.25))

    def test_a_run_that_takes_long_is_expected_to_go_on(self):
        self.slots.resize(1)
        self.slots.runs.add(_work(started=0.0))
        self.assertAlmostEqual(0.1, self.time_to_free(60.0))

    def test_of_many_runs_one_ends_soon(self):
        self.slots.resize(40)
        self.slots.runs |= {_work() for _ in range(self.slots.limit)}
        self.assertGreater(len(self.slots.runs), MAX_INSPECTED_RUNS)
        self.assertEqual(0.0, self.time_to_free(0.0))


class TestTwoQueues(TestCase):
    def setUp(self):
        super().setUp()
        self.queues = TwoQueues(4.0, 1.0, TeamWeights())

    def pop_all(self, may_start=lambda is_call, priority: True):
        popped = []
        while (work := self.queues.pop(may_start)) is not None:
            self.queues.charge(work, work.cost)
            popped.append(work)
        return popped

    def test_both_kinds_are_started_by_weight(self):
        """Calls go first, but new requests must not starve behind them."""
        for is_call in [True] * 40 + [False] * 10:
            self.queues.push(_work(is_call))
        calls = [work.is_call for work in self.pop_all()]
        self.assertEqual((50, 0), (len(calls), self.queues.waiting))
        self.assertIn(sum(calls[:25]), (19, 20, 21))

    def test_a_queue_that_was_empty_gets_no_credit(self):
        for _ in range(20):
            self.queues.push(_work(is_call=True))
        for _ in range(10):
            self.queues.charge(self.queues.pop(lambda *_: True), 1.0)
        for _ in range(10):
            self.queues.push(_work(is_call=False))
        first = [work.is_call for work in self.pop_all()[:10]]
        self.assertGreater(sum(first), 5)

    def test_a_request_that_may_not_start_does_not_hold_up_the_other_queue(self):
        self.queues.push(_work(is_call=True))
        self.queues.push(_work(is_call=False))
        popped = self.pop_all(lambda is_call, priority: not is_call)
        self.assertEqual(
            ([False], 1), ([w.is_call for w in popped], self.queues.waiting)
        )

    def test_removed_requests_are_not_started(self):
        source = random.Random(3)
        works = [_work(source.random() < 0.5, source.randrange(3)) for _ in range(60)]
        for work in works:
            self.queues.push(work)
        for work in works[::2]:
            self.queues.remove(work)
        self.assertEqual(30, self.queues.waiting)
        self.assertEqual(set(works[1::2]), set(self.pop_all()))

    def test_the_share_counts_while_the_other_queue_waits(self):
        shares = [self.queues.own_and_share(is_call)[1] for is_call in (True, False)]
        self.assertEqual([0.8, 0.2], shares)


class TestOutcomeLimits(TestCase):
    def setUp(self):
        super().setUp()
        self.limits = OutcomeLimits(OutcomeLimitSettings())
        self.limits.reset(2)

    def test_calls_are_not_limited(self):
        for is_call in (True, False):
            self.limits.change_held(_work(is_call), 1)
        self.assertEqual({1: 1}, self.limits.held)

    def test_a_limit_is_reached_by_its_own_priority_only(self):
        self.assertFalse(self.limits.is_reached(1))
        for _ in range(self.limits.of(1, 0.0).value):
            self.limits.change_held(_work(priority=1), 1)
        self.limits.of(2, 0.0)
        reached = [self.limits.is_reached(rank) for rank in (0, 1, 2)]
        self.assertEqual([False, True, False], reached)

    def test_another_number_of_slots_begins_anew(self):
        before = self.limits.of(1, 0.0).value
        self.limits.reset(20)
        self.assertEqual(10 * before, self.limits.of(1, 0.0).value)
