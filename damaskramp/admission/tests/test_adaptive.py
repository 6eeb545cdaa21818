import asyncio

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.admission import (
    AdaptiveAdmission,
    AdmissionEvent,
    AdmissionEvents,
    AdmissionRequest,
    FixedLimiter,
    ProbingLimiter,
    Sample,
    rank_of,
)
from damaskramp.config import AdmissionSettings
from damaskramp.core import Reason, RequestId, TeamId, VirtualTimers
from damaskramp.testing import LoopTestCase

ORDER_SECONDS = AdmissionSettings().order_seconds


class Recorder(AdmissionEvents):
    def __init__(self):
        self.seen = []

    def count(self, event):
        self.seen.append(event)


class Place:
    """Admission with its verdicts; running calls end when told."""

    def __init__(self, slots=2, limiter=None):
        self.timers = VirtualTimers()
        self.events = Recorder()
        self.admission = AdaptiveAdmission(
            AdmissionSettings(queue_factor=2.0),
            self.timers,
            limiter or FixedLimiter(slots),
            slots,
            np.random.default_rng(1),
            self.events,
        )
        self.running = []
        self.verdicts = {}
        self.order = []

    def offer(self, name, priority=0, team="a", depth=0, seconds=10.0):
        deadline = self.timers.now + seconds
        request = AdmissionRequest(
            RequestId(name), TeamId(team), priority, depth, deadline
        )

        def callback(refusal):
            assert name not in self.verdicts
            self.verdicts[name] = refusal
            self.order.append((self.timers.now, priority, refusal))
            if refusal is None:
                self.running.append(self.admission.permit())

        return self.admission.offer(request, callback)

    def end(self, seconds=0.01):
        self.running.pop(0).release(Sample(seconds, False))

    def admitted(self, name):
        return name in self.verdicts and self.verdicts[name] is None


class TestAdaptiveAdmission(LoopTestCase):
    def test_free_permit_goes_to_the_important_call(self):
        place = Place(slots=1)
        place.offer("running")
        place.offer("lesser", priority=2)
        place.offer("important", priority=0)
        place.end()
        self.assertTrue(place.admitted("important"))
        self.assertNotIn("lesser", place.verdicts)

    def test_queued_lesser_call_gives_way(self):
        place = Place(slots=1)
        place.offer("running")
        place.offer("l1", priority=2)
        place.offer("l2", priority=2)
        place.offer("i1", priority=0)
        refused = [n for n, r in place.verdicts.items() if r is not None]
        self.assertEqual(1, len(refused))
        self.assertIn(refused[0], ("l1", "l2"))

    def test_wait_is_bounded(self):
        place = Place(slots=1)
        place.offer("running")
        place.offer("waiting")
        place.timers.advance(0.5)
        refusal = place.verdicts["waiting"]
        self.assertIs(Reason.OVERLOADED, refusal.reason)
        self.assertGreater(refusal.retry_after, 0)

    def test_call_that_cannot_finish_is_dropped_at_once(self):
        place = Place()
        for number in range(20):
            place.offer(f"{number}")
            place.end(seconds=1.0)
        place.offer("late", seconds=0.3)
        self.assertIs(Reason.DEADLINE_EXCEEDED, place.verdicts["late"].reason)
        place.offer("in time", seconds=3.0)
        self.assertTrue(place.admitted("in time"))

    def test_stale_estimate_fades(self):
        place = Place()
        for number in range(20):
            place.offer(f"{number}")
            place.end(seconds=1.0)
        place.timers.advance(10.0)
        place.offer("later", seconds=0.3)
        self.assertTrue(place.admitted("later"))

    def test_parked_call_makes_room_within_the_slots(self):
        limiter = FixedLimiter(1)
        place = Place(slots=2, limiter=limiter)
        place.offer("outer")
        place.running[0].park()
        place.offer("inner")
        self.assertTrue(place.admitted("inner"))
        place.offer("third")
        place.running[1].park()
        self.assertFalse(place.admitted("third"))
        place.end()
        self.assertTrue(place.admitted("third"))

    def test_permit_released_while_parked_is_counted_once(self):
        place = Place(slots=1)
        place.offer("a")
        permit = place.running.pop()
        permit.park()
        permit.release(None)
        permit.resume()
        self.assertEqual(0, place.admission.load.in_flight)
        place.offer("b")
        self.assertTrue(place.admitted("b"))

    def test_queue_further_down_leaves_the_limit(self):
        limiter = ProbingLimiter(2, 16)
        place = Place(slots=16, limiter=limiter)
        for number in range(3000):
            place.offer(f"{number}", team=f"t{number}")
            if len(place.running) >= limiter.limit:
                nested = 0.05 * limiter.limit
                place.running.pop(0).release(Sample(0.01 + nested, False, nested))
        self.assertEqual(16, limiter.steady_limit)

    def test_bundle_moves_the_bound(self):
        place = Place(slots=1)
        place.offer("a")
        place.offer("b")
        place.admission.configure(2, {}, 3)
        self.assertTrue(place.admitted("b"))

    def test_cancelled_waiter_leaves(self):
        async def scenario():
            place = Place(slots=1)
            request = AdmissionRequest(RequestId("a"), TeamId("t"), 0, 0, 10.0)
            permit = (await place.admission.admit(request)).ok
            waiting = asyncio.ensure_future(place.admission.admit(request))
            await asyncio.sleep(0)
            self.assertEqual(1, place.admission.load.queued)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertEqual(0, place.admission.load.queued)
            permit.release(None)
            return place

        place = self.run_loop(scenario())
        self.assertEqual(0, place.admission.load.in_flight)
        self.assertIn(AdmissionEvent.WITHDRAWN, place.events.seen)

    def test_permit_that_meets_a_cancellation_is_not_lost(self):
        for release_first in (True, False):

            async def scenario(first=release_first):
                place = Place(slots=1)
                request = AdmissionRequest(RequestId("a"), TeamId("t"), 0, 0, 10.0)
                permit = (await place.admission.admit(request)).ok
                waiting = asyncio.ensure_future(place.admission.admit(request))
                await asyncio.sleep(0)
                steps = [lambda: permit.release(None), waiting.cancel]
                for step in steps if first else reversed(steps):
                    step()
                await asyncio.gather(waiting, return_exceptions=True)
                return place.admission.load

            load = self.run_loop(scenario())
            self.assertEqual((0, 0), (load.in_flight, load.queued))

    def test_lesser_call_is_not_admitted_just_after_an_important_one_was_shed(self):
        place = Place(slots=1)
        place.offer("running")
        place.offer("important", priority=0)
        place.timers.advance(0.2)
        self.assertIsNotNone(place.verdicts["important"])
        place.end()
        place.offer("lesser", priority=1)
        self.assertFalse(place.admitted("lesser"))
        place.timers.advance(0.2)
        place.offer("lesser again", priority=1)
        self.assertTrue(place.admitted("lesser again"))

    def test_important_call_is_not_shed_just_after_a_lesser_one_was_admitted(self):
        place = Place(slots=1)
        place.offer("lesser", priority=1)
        for number in range(10):
            place.offer(f"important {number}", priority=0)
        self.assertEqual({"lesser"}, set(place.verdicts))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("offer"), st.integers(0, 2), st.integers(1, 6)),
                st.tuples(st.just("end"), st.integers(1, 200), st.just(0)),
                st.tuples(st.just("advance"), st.integers(1, 150), st.just(0)),
            ),
            max_size=120,
        )
    )
    def test_order_of_shedding_holds_for_any_sequence(self, steps):
        place = Place(slots=1)
        for number, (step, first, second) in enumerate(steps):
            if step == "offer":
                for copy in range(second):
                    place.offer(f"{number}-{copy}", priority=first)
            elif step == "end" and place.running:
                place.end(first / 1000)
            elif step == "advance":
                place.timers.advance(first / 1000)
        for shed_at, important, refusal in place.order:
            if refusal is None or refusal.reason is not Reason.OVERLOADED:
                continue
            near = [
                priority
                for moment, priority, other in place.order
                if other is None and abs(moment - shed_at) < ORDER_SECONDS
            ]
            self.assertTrue(all(priority <= important for priority in near))
        waiting = place.admission.load.queued
        offers = sum(count for step, _, count in steps if step == "offer")
        self.assertEqual(offers, len(place.verdicts) + waiting)


class TestRank(LoopTestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 9), st.text(), st.text())
    def test_same_at_every_hop_and_inside_its_class(self, priority, team, name):
        rank = rank_of(priority, TeamId(team), RequestId(name))
        self.assertEqual(rank, rank_of(priority, TeamId(team), RequestId(name)))
        self.assertEqual(priority, int(rank))

    def test_spread_evenly(self):
        ranks = [rank_of(0, TeamId("t"), RequestId(str(n))) for n in range(10_000)]
        counts, _ = np.histogram(ranks, bins=10, range=(0, 1))
        self.assertLess(max(abs(counts - 1000)), 150)
