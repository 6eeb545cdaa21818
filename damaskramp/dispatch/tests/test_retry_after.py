"""Order in which refused callers return, and their chance when they do.

Without an order, a caller that was refused often competes with new ones as an equal.
"""

import heapq
import itertools
import random

from testtools import TestCase

from damaskramp.dispatch import (
    ChainAdmission,
    PressureEntry,
    RefusedCallers,
    ordered_retry_after,
)

STRESSED = (PressureEntry("deep", 8.0, 0.3, 0.12, 0.1, 0),)
"""Pressure at which the share of a rank neither falls nor rises."""


class TestOrderOfReturn(TestCase):
    def test_important_and_often_refused_callers_return_first(self):
        source = random.Random(1)
        waits = {
            (rank, refusals): [
                ordered_retry_after(1.0, rank, refusals, source) for _ in range(200)
            ]
            for rank in (0, 2)
            for refusals in (0, 2)
        }
        self.assertLess(max(waits[0, 0]), min(waits[2, 0]))
        self.assertLess(max(waits[2, 2]), min(waits[2, 0]))
        for each in waits.values():
            self.assertGreater(max(each) - min(each), 0.2)

    def play(self, remembers):
        """Play callers that come three times at most; return shares by try."""
        source, order = random.Random(3), itertools.count()
        admission, callers = ChainAdmission(), RefusedCallers()
        admission.admits("views", 2, STRESSED, 0.0)
        admission._shares["views", 2].value = 0.3
        events = []
        for n in range(6000):
            heapq.heappush(events, (source.uniform(1.5, 31.5), next(order), n, 1))
        asked, passed = {1: 0, 2: 0, 3: 0}, {1: 0, 2: 0, 3: 0}
        while events:
            now, _, caller, tries = heapq.heappop(events)
            returned = callers.take(caller, now) if remembers else None
            asked[tries] += 1
            known = returned is not None
            if admission.admits("views", 2, STRESSED, now, known):
                passed[tries] += 1
                continue
            callers.record(caller, returned, now)
            wait = ordered_retry_after(1.0, 2, tries - 1, source)
            if tries < 3:
                again = (now + wait, next(order), caller, tries + 1)
                heapq.heappush(events, again)
        shares = {n: passed[n] / asked[n] for n in asked}
        return shares, sum(passed.values()) / sum(asked.values())

    def test_callers_that_return_pass_before_new_ones(self):
        alike, total = self.play(remembers=False)
        self.assertAlmostEqual(alike[1], alike[2], delta=0.05)
        ordered, total_ordered = self.play(remembers=True)
        self.assertGreater(ordered[2], 1.2 * ordered[1])
        self.assertAlmostEqual(total, total_ordered, delta=0.02)

    def test_memory_of_refused_callers_is_bounded(self):
        callers = RefusedCallers()
        for n in range(20_000):
            callers.record(n, None, n / 10_000)
        self.assertLessEqual(len(callers._refused), 4097)
        self.assertIsNone(callers.take(0, 2.0))
        self.assertIsNotNone(callers.take(19_999, 2.0))
        self.assertIsNone(callers.take(19_998, 30.0))

    def test_forgetting_an_earlier_refusal_keeps_a_later_one(self):
        """Requests with equal fingerprints are refused and return again and again."""
        callers = RefusedCallers()
        callers.record(7, None, 1.0)
        callers.take(7, 2.0)
        callers.record(7, None, 9.0)
        self.assertIsNotNone(callers.take(7, 11.5))

    def test_an_empty_start_treats_a_return_as_new(self):
        self.assertIsNone(RefusedCallers().take(7, 1.0))
