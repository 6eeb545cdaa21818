import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.admission import ProbingLimiter
from damaskramp.testing import LoopTestCase

SLOTS = 64


def observe_samples(limiter, seconds_at, samples=2000, seed=1):
    """Observe call times of a backend server that always runs at the limit."""
    random_state = np.random.default_rng(seed)
    limits = []
    for _ in range(samples):
        seconds = seconds_at(limiter.limit) * random_state.gamma(8.0, 1 / 8)
        limiter.observe(seconds, False, limiter.window)
        limits.append(limiter.steady_limit)
    return limits


class TestProbingLimiter(LoopTestCase):
    def test_slowness_without_queueing_keeps_the_limit(self):
        """Guards against lost throughput when calls slow down for another reason."""
        limiter = ProbingLimiter(2, SLOTS)
        observe_samples(limiter, lambda limit: 0.01)
        limits = observe_samples(limiter, lambda limit: 0.05)
        self.assertGreaterEqual(np.mean(limits[-1000:]), 0.9 * SLOTS)

    def test_queueing_lowers_the_limit_to_the_knee(self):
        limiter = ProbingLimiter(2, SLOTS)
        limits = observe_samples(
            limiter, lambda limit: max(0.01, limit * 0.01 / 16), 8000
        )
        tail = np.mean(limits[-2000:])
        self.assertLess(tail, 32)
        self.assertGreaterEqual(tail, 14)

    def test_limit_recovers_when_the_knee_moves_up(self):
        """Guards against a limit that stays low after the capacity grows."""
        limiter = ProbingLimiter(2, SLOTS)
        observe_samples(limiter, lambda limit: max(0.01, limit * 0.01 / 8), 8000)
        limits = observe_samples(limiter, lambda limit: 0.01, 4000)
        self.assertGreaterEqual(limits[-1], 0.9 * SLOTS)

    def test_overload_lowers_the_limit_once_per_window(self):
        """Guards against a collapsing limit when many calls of one window are shed."""
        limiter = ProbingLimiter(2, SLOTS)
        window = limiter.window
        for _ in range(50):
            limiter.observe(0.01, True, window)
        self.assertGreaterEqual(limiter.steady_limit, int(0.9 * SLOTS) - 1)
        self.assertLess(limiter.steady_limit, SLOTS)

    def test_new_bound_is_applied(self):
        limiter = ProbingLimiter(2, SLOTS)
        limiter.set_bound(16)
        self.assertEqual(16, limiter.limit)
        limiter.set_bound(128)
        self.assertEqual(128, limiter.limit)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 100), st.booleans()), max_size=300),
        st.integers(1, 8),
        st.integers(1, 100),
    )
    def test_limit_stays_within_bounds(self, samples, lower, upper):
        limiter = ProbingLimiter(lower, upper)
        for seconds, overloaded in samples:
            limiter.observe(seconds, overloaded, limiter.window)
            self.assertTrue(lower <= limiter.limit <= max(lower, upper))
