"""The window checker accepts histories within the limits and finds violations.

A checker that misses a violation would let tests of rate limits pass.
"""

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.quota import TokenBucket
from damaskramp.testing import LoopTestCase
from damaskramp.testing.rate_windows import Admission, Limit, worst_window

TOLERANCE = 1e-6
MOMENTS = st.lists(st.floats(0.0, 20.0), max_size=120)


def lawful(moments: list[float], rate: float, burst: float) -> list[Admission]:
    bucket = TokenBucket(rate, burst, 0.0)
    return [Admission.at(m) for m in sorted(moments) if bucket.acquire(m)]


class TestWorstWindow(LoopTestCase):
    @settings(derandomize=True, deadline=None)
    @given(MOMENTS, st.floats(0.1, 10.0), st.integers(1, 10))
    def test_bucket_output_passes(self, moments, rate, burst):
        history = lawful(moments, rate, burst)
        window = worst_window(history, [Limit(0.0, rate, burst)])
        self.assertTrue(window is None or window.excess <= TOLERANCE)

    @settings(derandomize=True, deadline=None)
    @given(MOMENTS, st.floats(0.1, 10.0), st.integers(1, 10), st.floats(0.0, 20.0))
    def test_planted_violation_fails(self, moments, rate, burst, planted):
        history = lawful(moments, rate, burst)
        extra = [Admission.at(planted)] * (burst + 1)
        window = worst_window(history + extra, [Limit(0.0, rate, burst)])
        self.assertGreaterEqual(window.excess, 1.0 - TOLERANCE)

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.lists(st.floats(0.0, 5.0), min_size=1, max_size=25))
    def test_agrees_with_every_pair(self, moments):
        limits = [Limit(0.0, 2.0, 3.0), Limit(2.5, 1.0, 2.0)]
        ordered = np.sort(moments)
        best = -np.inf
        for start in ordered:
            for end in ordered[ordered >= start]:
                count = np.sum((ordered >= start) & (ordered <= end))
                early = max(0.0, min(end, 2.5) - start)
                late = max(0.0, end - max(start, 2.5))
                burst = 3.0 if start < 2.5 else 2.0
                best = max(best, count - 2.0 * early - late - burst)
        window = worst_window([Admission.at(m) for m in moments], limits)
        self.assertAlmostEqual(best, window.excess, places=6)

    def test_only_certain_admissions_count(self):
        limits = [Limit(0.0, 1.0, 2.0)]
        loose = [Admission(0.0, 4.0)] * 6
        self.assertEqual(0.0, worst_window(loose, limits).excess)
        tight = [Admission(0.0, 1.0)] * 6
        self.assertEqual(3.0, worst_window(tight, limits).excess)

    def test_lower_limit_counts_after_its_change(self):
        limits = [Limit(0.0, 1.0, 5.0), Limit(10.0, 1.0, 1.0)]
        before = [Admission.at(9.0)] * 5
        after = [Admission.at(11.0)] * 2
        self.assertEqual(0.0, worst_window(before, limits).excess)
        self.assertEqual(1.0, worst_window(after, limits).excess)
