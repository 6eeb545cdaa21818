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


class EventRecorder(AdmissionEvents):
    def __init__(self):
        self.recorded = []

    def count(self, event):
        self.recorded.append(event)


class AdmissionHarness:
    """Admission control that records its decisions; tests end running calls."""

    def __init__(self, slots=2, limiter=None):
        self.timers = VirtualTimers()
        self.events = EventRecorder()
        self.admission = AdaptiveAdmission(
            AdmissionSettings(queue_factor=2.0),
            self.timers,
            limiter or FixedLimiter(slots),
            slots,
            np.random.default_rng(1),
            self.events,
        )
        self.running = []
        self.decisions = {}
        self.decision_log = []

    def offer(self, name, priority=0, team="a", depth=0, seconds=10.0):
        deadline = self.timers.now + seconds
        request = AdmissionRequest(
            RequestId(name), TeamId(team), priority, depth, deadline
        )

        def callback(refusal):
            assert name not in self.decisions
            self.decisions[name] = refusal
            self.decision_log.append((self.timers.now, priority, refusal))
            if refusal is None:
                self.running.append(self.admission.permit())

        return self.admission.offer(request, callback)

    def end(self, seconds=0.01):
        self.running.pop(0).release(Sample(seconds, False))

    def admitted(self, name):
        return name in self.decisions and self.decisions[name] is None


class TestAdaptiveAdmission(LoopTestCase):
    def test_free_permit_goes_to_the_important_call(self):
        harness = AdmissionHarness(slots=1)
        harness.offer("running")
        harness.offer("lesser", priority=2)
        harness.offer("important", priority=0)
        harness.end()
        self.assertTrue(harness.admitted("important"))
        self.assertNotIn("lesser", harness.decisions)

    def test_queued_less_important_call_is_evicted(self):
        harness = AdmissionHarness(slots=1)
        harness.offer("running")
        harness.offer("l1", priority=2)
        harness.offer("l2", priority=2)
        harness.offer("i1", priority=0)
        refused = [n for n, r in harness.decisions.items() if r is not None]
        self.assertEqual(1, len(refused))
        self.assertIn(refused[0], ("l1", "l2"))

    def test_wait_is_bounded(self):
        """Guards against a call that waits in the queue until its deadline."""
        harness = AdmissionHarness(slots=1)
        harness.offer("running")
        harness.offer("waiting")
        harness.timers.advance(0.5)
        refusal = harness.decisions["waiting"]
        self.assertIs(Reason.OVERLOADED, refusal.reason)
        self.assertGreater(refusal.retry_after, 0)

    def test_call_that_would_miss_its_deadline_is_refused_at_once(self):
        """Guards against work whose answer would arrive after the deadline."""
        harness = AdmissionHarness()
        for number in range(20):
            harness.offer(f"{number}")
            harness.end(seconds=1.0)
        harness.offer("late", seconds=0.3)
        self.assertIs(Reason.DEADLINE_EXCEEDED, harness.decisions["late"].reason)
        harness.offer("in time", seconds=3.0)
        self.assertTrue(harness.admitted("in time"))

    def test_stale_estimate_decays(self):
        """Guards against an old estimate that refuses the calls to correct it."""
        harness = AdmissionHarness()
        for number in range(20):
            harness.offer(f"{number}")
            harness.end(seconds=1.0)
        harness.timers.advance(10.0)
        harness.offer("later", seconds=0.3)
        self.assertTrue(harness.admitted("later"))

    def test_parked_call_frees_a_permit_within_the_slots(self):
        limiter = FixedLimiter(1)
        harness = AdmissionHarness(slots=2, limiter=limiter)
        harness.offer("outer")
        harness.running[0].park()
        harness.offer("inner")
        self.assertTrue(harness.admitted("inner"))
        harness.offer("third")
        harness.running[1].park()
        self.assertFalse(harness.admitted("third"))
        harness.end()
        self.assertTrue(harness.admitted("third"))

    def test_permit_released_while_parked_is_counted_once(self):
        """Guards against a leaked slot when a call ends while it is parked."""
        harness = AdmissionHarness(slots=1)
        harness.offer("a")
        permit = harness.running.pop()
        permit.park()
        permit.release(None)
        permit.resume()
        self.assertEqual(0, harness.admission.load.in_flight)
        harness.offer("b")
        self.assertTrue(harness.admitted("b"))

    def test_downstream_queueing_does_not_lower_the_limit(self):
        """Guards against a lower limit because a downstream service is slow."""
        limiter = ProbingLimiter(2, 16)
        harness = AdmissionHarness(slots=16, limiter=limiter)
        for number in range(3000):
            harness.offer(f"{number}", team=f"t{number}")
            if len(harness.running) >= limiter.limit:
                nested = 0.05 * limiter.limit
                harness.running.pop(0).release(Sample(0.01 + nested, False, nested))
        self.assertEqual(16, limiter.steady_limit)

    def test_bundle_changes_the_bound(self):
        harness = AdmissionHarness(slots=1)
        harness.offer("a")
        harness.offer("b")
        harness.admission.configure(2, {}, 3)
        self.assertTrue(harness.admitted("b"))

    def test_cancelled_waiter_is_removed_from_the_queue(self):
        async def scenario():
            harness = AdmissionHarness(slots=1)
            request = AdmissionRequest(RequestId("a"), TeamId("t"), 0, 0, 10.0)
            permit = (await harness.admission.admit(request)).ok
            waiting = asyncio.ensure_future(harness.admission.admit(request))
            await asyncio.sleep(0)
            self.assertEqual(1, harness.admission.load.queued)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertEqual(0, harness.admission.load.queued)
            permit.release(None)
            return harness

        harness = self.run_loop(scenario())
        self.assertEqual(0, harness.admission.load.in_flight)
        self.assertIn(AdmissionEvent.WITHDRAWN, harness.events.recorded)

    def test_permit_granted_during_a_cancellation_is_returned(self):
        """Guards against a leaked permit if release and cancellation coincide."""
        for release_first in (True, False):

            async def scenario(first=release_first):
                harness = AdmissionHarness(slots=1)
                request = AdmissionRequest(RequestId("a"), TeamId("t"), 0, 0, 10.0)
                permit = (await harness.admission.admit(request)).ok
                waiting = asyncio.ensure_future(harness.admission.admit(request))
                await asyncio.sleep(0)
                steps = [lambda: permit.release(None), waiting.cancel]
                for step in steps if first else reversed(steps):
                    step()
                await asyncio.gather(waiting, return_exceptions=True)
                return harness.admission.load

            load = self.run_loop(scenario())
            self.assertEqual((0, 0), (load.in_flight, load.queued))

    def test_no_less_important_call_admitted_just_after_important_one_shed(self):
        """Guards against inverted priorities after a call was shed."""
        harness = AdmissionHarness(slots=1)
        harness.offer("running")
        harness.offer("important", priority=0)
        harness.timers.advance(0.2)
        self.assertIsNotNone(harness.decisions["important"])
        harness.end()
        harness.offer("lesser", priority=1)
        self.assertFalse(harness.admitted("lesser"))
        harness.timers.advance(0.2)
        harness.offer("lesser again", priority=1)
        self.assertTrue(harness.admitted("lesser again"))

    def test_no_important_call_shed_just_after_less_important_one_admitted(self):
        """Guards against inverted priorities after a call was admitted."""
        harness = AdmissionHarness(slots=1)
        harness.offer("lesser", priority=1)
        for number in range(10):
            harness.offer(f"important {number}", priority=0)
        self.assertEqual({"lesser"}, set(harness.decisions))

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
        """Guards against inverted priorities and lost calls in any sequence."""
        harness = AdmissionHarness(slots=1)
        for number, (step, first, second) in enumerate(steps):
            if step == "offer":
                for copy in range(second):
                    harness.offer(f"{number}-{copy}", priority=first)
            elif step == "end" and harness.running:
                harness.end(first / 1000)
            elif step == "advance":
                harness.timers.advance(first / 1000)
        for shed_at, important, refusal in harness.decision_log:
            if refusal is None or refusal.reason is not Reason.OVERLOADED:
                continue
            nearby_admitted = [
                priority
                for decided_at, priority, other in harness.decision_log
                if other is None and abs(decided_at - shed_at) < ORDER_SECONDS
            ]
            self.assertTrue(all(priority <= important for priority in nearby_admitted))
        waiting = harness.admission.load.queued
        offers = sum(count for step, _, count in steps if step == "offer")
        self.assertEqual(offers, len(harness.decisions) + waiting)


class TestRank(LoopTestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 9), st.text(), st.text())
    def test_rank_is_the_same_at_every_hop_and_within_its_class(
        self, priority, team, name
    ):
        rank = rank_of(priority, TeamId(team), RequestId(name))
        self.assertEqual(rank, rank_of(priority, TeamId(team), RequestId(name)))
        self.assertEqual(priority, int(rank))

    def test_ranks_are_distributed_uniformly(self):
        ranks = [rank_of(0, TeamId("t"), RequestId(str(n))) for n in range(10_000)]
        counts, _ = np.histogram(ranks, bins=10, range=(0, 1))
        self.assertLess(max(abs(counts - 1000)), 150)
