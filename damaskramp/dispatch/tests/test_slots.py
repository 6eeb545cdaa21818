"""Loads played against the queue of one backend server, under a virtual clock."""

import heapq
import itertools
import random

from testtools import TestCase

from damaskramp.dispatch import QueueDecision, SlotQueue, SlotSettings, Work


class Play:
    """A server with slots, and requests that arrive at given times.

    Each run takes its `cost`; times are seconds.
    """

    def __init__(self, slots, cost, fails=lambda work, now: False):
        self.queue = SlotQueue(SlotSettings(), slots)
        self.cost = cost
        self.fails = fails
        self.now = 0.0
        self.ended = []
        self.refused = []
        self._events = []
        self._order = itertools.count()

    def arrive(self, at, work):
        heapq.heappush(self._events, (at, next(self._order), "arrive", work))

    def run(self, until):
        sweep = 0.0
        while self._events and self._events[0][0] <= until:
            self.now, _, what, work = heapq.heappop(self._events)
            if self.now >= sweep:
                self.refused += self.queue.expire(self.now)
                sweep = self.now + 0.05
            if what == "arrive":
                decision = self.queue.offer(work, self.now)
                if decision is QueueDecision.RUN:
                    self._start(work)
                elif decision is QueueDecision.REFUSE:
                    self.refused.append(work)
            else:
                good = not self.fails(work, self.now)
                self.queue.finish(work, self.now, good)
                self.ended.append((work, self.now, good))
            for started in self.queue.next_runs(self.now):
                self._start(started)

    def _start(self, work):
        end = self.now + self.cost(work)
        heapq.heappush(self._events, (end, next(self._order), "end", work))


def poisson(rate, until, source):
    at = 0.0
    while (at := at + source.expovariate(rate)) < until:
        yield at


def entry(at, target=0.6, deadline=2.5, priority=2):
    return Work("entry", False, priority, at + target, at + deadline)


def call(at):
    return Work("call", True, 2, at + 0.3, at + 0.7)


class TestSlotQueue(TestCase):
    def test_slot_kept_free_costs_no_more_than_the_slow_down(self):
        settings = SlotSettings()
        for slots in range(1, 200):
            limit = SlotQueue(settings, slots).limit
            pace = limit if limit < slots else slots / settings.full_slowdown
            best = max(slots - 1, slots / settings.full_slowdown)
            self.assertLessEqual(0.94 * best, pace, slots)
        few = [SlotQueue(settings, slots).limit for slots in (1, 2, 3, 8, 100)]
        self.assertEqual([1, 2, 3, 7, 94], few)

    def test_never_more_run_than_slots_below_the_full_share(self):
        play = Play(18, lambda work: 0.1)
        for _ in range(100):
            play.arrive(0.0, entry(0.0))
        seen = []
        play.cost = lambda work: seen.append(play.queue.running) or 0.1
        play.run(0.0)
        self.assertEqual(17, max(seen))

    def test_overload_serves_what_it_admits_within_the_target(self):
        for factor in (2, 4, 10):
            with self.subTest(factor=factor):
                source = random.Random(factor)
                play = Play(20, lambda work, source=source: source.uniform(0.1, 0.3))
                for at in poisson(factor * 90, 10.0, source):
                    play.arrive(at, entry(at))
                play.run(20.0)
                in_time = [w for w, end, _ in play.ended if end <= w.target]
                # 19 slots for 10 s at 0.2 s each are 950 requests.
                self.assertGreaterEqual(len(in_time), 0.9 * 950)
                self.assertGreaterEqual(len(in_time), 0.9 * len(play.ended))

    def test_refusals_come_at_once_or_when_overtaken(self):
        source = random.Random(3)
        play = Play(10, lambda work: 0.1)
        for at in poisson(400, 5.0, source):
            play.arrive(at, entry(at))
        play.run(10.0)
        self.assertGreater(len(play.refused), 0)
        for work in play.refused:
            self.assertLessEqual(work.enqueued, work.target)

    def test_calls_go_before_entries_and_entries_keep_a_part(self):
        source = random.Random(5)
        play = Play(20, lambda work: 0.02 if work.is_call else 0.2)
        for at in poisson(1500, 5.0, source):
            play.arrive(at, call(at))
        for at in poisson(100, 5.0, source):
            play.arrive(at, entry(at))
        play.run(10.0)
        calls = sum(work.is_call for work, _, _ in play.ended)
        entries = len(play.ended) - calls
        self.assertGreater(calls * 0.02, 2 * entries * 0.2)
        # A fifth of 19 slots for 5 s at 0.2 s each.
        self.assertGreater(entries, 0.8 * 95)

    def test_short_calls_wait_rather_than_fail_the_request_above(self):
        source = random.Random(15)
        play = Play(18, lambda work: 0.015)
        for burst in range(20):
            for _ in range(150):
                at = burst * 0.5 + source.uniform(0.0, 0.02)
                play.arrive(at, call(at))
        play.run(20.0)
        # 150 calls of 15 ms on 17 slots are worked off in 0.13 s of their 0.7 s.
        self.assertEqual((3000, 0), (len(play.ended), len(play.refused)))

    def test_entries_behind_many_calls_are_admitted_by_their_own_part(self):
        source = random.Random(9)
        play = Play(50, lambda work: 0.015 if work.is_call else 0.24)
        for at in poisson(5000, 10.0, source):
            play.arrive(at, call(at))
        for at in poisson(100, 10.0, source):
            play.arrive(at, entry(at))
        play.run(20.0)
        in_time = [w for w, end, _ in play.ended if not w.is_call and end <= w.target]
        late = [w for w, end, _ in play.ended if not w.is_call and end > w.target]
        # A fifth of 47 slots for 10 s at 0.24 s each are 391.
        self.assertGreater(len(in_time), 0.9 * 391)
        self.assertLess(len(late), 0.1 * len(in_time))

    def test_important_requests_go_first(self):
        source = random.Random(7)
        play = Play(10, lambda work: 0.1)
        for at in poisson(90, 10.0, source):
            play.arrive(at, entry(at, priority=0))
        for at in poisson(300, 10.0, source):
            play.arrive(at, entry(at, priority=2))
        play.run(20.0)
        important = sum(work.priority == 0 for work, _, _ in play.ended)
        refused = sum(work.priority == 0 for work in play.refused)
        self.assertLess(refused, 0.05 * (important + refused))

    def test_cancelled_work_frees_its_place(self):
        queue = SlotQueue(SlotSettings(), 1)
        works = [entry(0.0) for _ in range(3)]
        verdicts = [queue.offer(work, 0.0) for work in works]
        self.assertEqual(
            [QueueDecision.RUN, QueueDecision.WAIT, QueueDecision.WAIT], verdicts
        )
        queue.cancel(works[1], 0.1)
        queue.cancel(works[0], 0.1)
        self.assertEqual([works[2]], list(queue.next_runs(0.1)))
        self.assertEqual((1, 0), (queue.running, queue.waiting))


class TestOutcomeLimit(TestCase):
    def served(self, limited, room_per_second):
        """Good and vain ends of entries whose calls share a service below."""
        source = random.Random(11)
        room = {"until": 0.0, "used": 0}

        def fails(work, now):
            if now >= room["until"]:
                room["until"], room["used"] = int(now) + 1.0, 0
            room["used"] += 1
            return room["used"] > room_per_second

        play = Play(200, lambda work: 0.1, fails)
        if not limited:
            play.queue._bound = lambda priority, now: _Unlimited()
        for at in poisson(200, 20.0, source):
            play.arrive(at, entry(at))
        play.run(30.0)
        good = sum(good for _, _, good in play.ended)
        return good, len(play.ended) - good

    def test_hardly_any_request_is_started_while_all_fail(self):
        _, vain = self.served(limited=True, room_per_second=0)
        _, plain_vain = self.served(limited=False, room_per_second=0)
        self.assertLess(vain, 0.5 * plain_vain)

    def test_what_a_short_service_carries_is_still_used(self):
        # Refusing more would start fewer in vain, and serve fewer.
        good, _ = self.served(limited=True, room_per_second=50)
        plain_good, _ = self.served(limited=False, room_per_second=50)
        self.assertGreater(good, 0.9 * plain_good)

    def test_bound_rises_again_when_the_cause_is_gone(self):
        source = random.Random(13)
        play = Play(200, lambda work: 0.1, lambda work, now: now < 5.0)
        for at in poisson(400, 15.0, source):
            play.arrive(at, entry(at))
        play.run(20.0)
        recovered = [end for _, end, good in play.ended if 8.0 < end < 15.0 and good]
        # All of them are served within 3 s of the end of the cause.
        self.assertGreater(len(recovered), 0.95 * 400 * 7)


class _Unlimited:
    def admits(self, held):
        return True

    def record_end(self, bad, held, now):
        pass
