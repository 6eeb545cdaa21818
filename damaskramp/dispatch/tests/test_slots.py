"""Simulated loads on the queue of one backend server, under a virtual clock."""

import heapq
import itertools
import random

from testtools import TestCase

from damaskramp.dispatch import QueueDecision, SlotQueue, SlotSettings, Work


class Simulation:
    """Simulation of a server with slots and requests that arrive at given times.

    Each run takes the seconds that `cost` returns for it.
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
        next_expiry = 0.0
        while self._events and self._events[0][0] <= until:
            self.now, _, what, work = heapq.heappop(self._events)
            if self.now >= next_expiry:
                self.refused += self.queue.expire(self.now)
                next_expiry = self.now + 0.05
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


def new_request(at, target=0.6, deadline=2.5, priority=2):
    return Work("entry", False, priority, at + target, at + deadline)


def call(at):
    return Work("call", True, 2, at + 0.3, at + 0.7)


class TestSlotQueue(TestCase):
    def test_limit_costs_no_more_than_the_slowdown_it_avoids(self):
        """A slot kept free at a server with few slots costs much of its throughput."""
        settings = SlotSettings()
        for slots in range(1, 200):
            limit = SlotQueue(settings, slots).limit
            pace = limit if limit < slots else slots / settings.full_slowdown
            best = max(slots - 1, slots / settings.full_slowdown)
            self.assertLessEqual(0.94 * best, pace, slots)
        few = [SlotQueue(settings, slots).limit for slots in (1, 2, 3, 8, 100)]
        self.assertEqual([1, 2, 3, 7, 94], few)

    def test_running_requests_stay_below_the_full_share_of_slots(self):
        simulation = Simulation(18, lambda work: 0.1)
        for _ in range(100):
            simulation.arrive(0.0, new_request(0.0))
        seen = []
        simulation.cost = lambda work: seen.append(simulation.queue.running) or 0.1
        simulation.run(0.0)
        self.assertEqual(17, max(seen))

    def test_admitted_requests_meet_the_target_under_overload(self):
        for factor in (2, 4, 10):
            with self.subTest(factor=factor):
                source = random.Random(factor)
                simulation = Simulation(
                    20, lambda work, source=source: source.uniform(0.1, 0.3)
                )
                for at in poisson(factor * 90, 10.0, source):
                    simulation.arrive(at, new_request(at))
                simulation.run(20.0)
                in_time = [w for w, end, _ in simulation.ended if end <= w.target]
                # 19 slots serve 950 requests of 0.2 s each in 10 s.
                self.assertGreaterEqual(len(in_time), 0.9 * 950)
                self.assertGreaterEqual(len(in_time), 0.9 * len(simulation.ended))

    def test_refusals_come_at_once_or_when_overtaken(self):
        source = random.Random(3)
        simulation = Simulation(10, lambda work: 0.1)
        for at in poisson(400, 5.0, source):
            simulation.arrive(at, new_request(at))
        simulation.run(10.0)
        self.assertGreater(len(simulation.refused), 0)
        for work in simulation.refused:
            self.assertLessEqual(work.enqueued, work.target)

    def test_calls_get_most_slots_and_new_requests_keep_their_share(self):
        source = random.Random(5)
        simulation = Simulation(20, lambda work: 0.02 if work.is_call else 0.2)
        for at in poisson(1500, 5.0, source):
            simulation.arrive(at, call(at))
        for at in poisson(100, 5.0, source):
            simulation.arrive(at, new_request(at))
        simulation.run(10.0)
        calls = sum(work.is_call for work, _, _ in simulation.ended)
        entries = len(simulation.ended) - calls
        self.assertGreater(calls * 0.02, 2 * entries * 0.2)
        # A fifth of 19 slots serves 95 new requests of 0.2 s each in 5 s.
        self.assertGreater(entries, 0.8 * 95)

    def test_short_calls_wait_rather_than_fail_the_request_above(self):
        """Bursts of calls exceed the slots, but end long before their deadlines."""
        source = random.Random(15)
        simulation = Simulation(18, lambda work: 0.015)
        for burst in range(20):
            for _ in range(150):
                at = burst * 0.5 + source.uniform(0.0, 0.02)
                simulation.arrive(at, call(at))
        simulation.run(20.0)
        # 17 slots run a burst of 150 calls of 15 ms in 0.13 s; the deadline is 0.7 s.
        self.assertEqual((3000, 0), (len(simulation.ended), len(simulation.refused)))

    def test_new_requests_behind_many_calls_are_admitted_by_their_own_share(self):
        """New requests are refused needlessly if all waiting calls count as ahead."""
        source = random.Random(9)
        simulation = Simulation(50, lambda work: 0.015 if work.is_call else 0.24)
        for at in poisson(5000, 10.0, source):
            simulation.arrive(at, call(at))
        for at in poisson(100, 10.0, source):
            simulation.arrive(at, new_request(at))
        simulation.run(20.0)
        in_time = [
            w for w, end, _ in simulation.ended if not w.is_call and end <= w.target
        ]
        late = [w for w, end, _ in simulation.ended if not w.is_call and end > w.target]
        # A fifth of 47 slots serves 391 new requests of 0.24 s each in 10 s.
        self.assertGreater(len(in_time), 0.9 * 391)
        self.assertLess(len(late), 0.1 * len(in_time))

    def test_important_requests_go_first(self):
        source = random.Random(7)
        simulation = Simulation(10, lambda work: 0.1)
        for at in poisson(90, 10.0, source):
            simulation.arrive(at, new_request(at, priority=0))
        for at in poisson(300, 10.0, source):
            simulation.arrive(at, new_request(at, priority=2))
        simulation.run(20.0)
        important = sum(work.priority == 0 for work, _, _ in simulation.ended)
        refused = sum(work.priority == 0 for work in simulation.refused)
        self.assertLess(refused, 0.05 * (important + refused))

    def test_cancelled_request_frees_its_slot(self):
        queue = SlotQueue(SlotSettings(), 1)
        works = [new_request(0.0) for _ in range(3)]
        decisions = [queue.offer(work, 0.0) for work in works]
        self.assertEqual(
            [QueueDecision.RUN, QueueDecision.WAIT, QueueDecision.WAIT], decisions
        )
        queue.cancel(works[1], 0.1)
        queue.cancel(works[0], 0.1)
        self.assertEqual([works[2]], list(queue.next_runs(0.1)))
        self.assertEqual((1, 0), (queue.running, queue.waiting))


class TestOutcomeLimit(TestCase):
    def count_good_and_failed(self, limited, room_per_second):
        """Numbers of new requests that succeed and that fail at the service below.

        All of them call one service below, which can serve `room_per_second` requests.
        """
        source = random.Random(11)
        room = {"until": 0.0, "used": 0}

        def fails(work, now):
            if now >= room["until"]:
                room["until"], room["used"] = int(now) + 1.0, 0
            room["used"] += 1
            return room["used"] > room_per_second

        simulation = Simulation(200, lambda work: 0.1, fails)
        if not limited:
            simulation.queue._bounds.of = lambda priority, now: _Unlimited()
        for at in poisson(200, 20.0, source):
            simulation.arrive(at, new_request(at))
        simulation.run(30.0)
        good = sum(good for _, _, good in simulation.ended)
        return good, len(simulation.ended) - good

    def test_few_requests_are_started_while_all_fail(self):
        """Free slots here let requests start although the service below fails."""
        _, failed = self.count_good_and_failed(limited=True, room_per_second=0)
        _, unlimited_failed = self.count_good_and_failed(
            limited=False, room_per_second=0
        )
        self.assertLess(failed, 0.5 * unlimited_failed)

    def test_capacity_of_a_partly_failing_service_is_still_used(self):
        """A limit that decreases too early refuses requests that would succeed."""
        # A stricter limit would start fewer requests that fail, but serve fewer too.
        good, _ = self.count_good_and_failed(limited=True, room_per_second=50)
        unlimited_good, _ = self.count_good_and_failed(
            limited=False, room_per_second=50
        )
        self.assertGreater(good, 0.9 * unlimited_good)

    def test_bound_rises_again_when_the_cause_is_gone(self):
        source = random.Random(13)
        simulation = Simulation(200, lambda work: 0.1, lambda work, now: now < 5.0)
        for at in poisson(400, 15.0, source):
            simulation.arrive(at, new_request(at))
        simulation.run(20.0)
        recovered = [
            end for _, end, good in simulation.ended if 8.0 < end < 15.0 and good
        ]
        # All new requests are served from 3 s after the end of the failure.
        self.assertGreater(len(recovered), 0.95 * 400 * 7)


class _Unlimited:
    def admits(self, held):
        return True

    def record_end(self, bad, held, now):
        pass


class TestOrderByRoot(TestCase):
    def play(self, ranks, rate=150.0):
        """Play calls on ten slots that serve 95 a second, with roots of some ranks."""
        source = random.Random(4)
        simulation = Simulation(10, lambda work: source.uniform(0.08, 0.12))
        works = []
        for at in poisson(rate, 20.0, source):
            work = call(at)
            rank = source.choice(ranks)
            if rank is not None:
                work.priority = rank
                work.order = at + source.uniform(0.2, 2.0)
            works.append(work)
            simulation.arrive(at, work)
        simulation.run(25.0)
        ended = {id(work) for work, _, good in simulation.ended if good}
        return works, ended

    def test_calls_of_important_roots_are_served_first(self):
        """All calls alike would refuse a third of those of the important roots too."""
        works, ended = self.play([0, 2, 2])
        served = {rank: [] for rank in (0, 2)}
        for work in works:
            served[work.priority].append(id(work) in ended)
        share = {rank: sum(each) / len(each) for rank, each in served.items()}
        self.assertGreater(share[0], 0.99)
        self.assertGreater(share[2], 0.3)
        total = sum(sum(each) for each in served.values())
        self.assertGreater(total, 0.9 * 95 * 20)

    def started_after(self, queue, running):
        """End the request on the only slot, and the others as they start."""
        started = []
        queue.finish(running, 0.02, True)
        while found := list(queue.next_runs(0.02)):
            started += found
            queue.finish(found[0], 0.02, True)
        return started

    def test_calls_of_advanced_roots_start_first(self):
        queue = SlotQueue(SlotSettings(), 1)
        running = call(0.0)
        queue.offer(running, 0.0)
        waiting = [call(0.01) for _ in range(3)]
        for work, order in zip(waiting, (1.5, 0.4, 0.9), strict=True):
            work.order = order
            self.assertIs(QueueDecision.WAIT, queue.offer(work, 0.01))
        started = self.started_after(queue, running)
        self.assertEqual([waiting[1], waiting[2], waiting[0]], started)

    def test_calls_of_unknown_roots_keep_the_order_of_their_targets(self):
        queue = SlotQueue(SlotSettings(), 1)
        running = call(0.0)
        queue.offer(running, 0.0)
        waiting = [call(at) for at in (0.012, 0.010, 0.011)]
        for work in waiting:
            self.assertIs(QueueDecision.WAIT, queue.offer(work, 0.012))
        started = self.started_after(queue, running)
        self.assertEqual([waiting[1], waiting[2], waiting[0]], started)
