from hypothesis import given, settings
from hypothesis import strategies as st
from numpy.random import default_rng

from damaskramp.config import RetrySettings
from damaskramp.core import RequestId, TeamId, VirtualTimers
from damaskramp.retries import (
    Backoff,
    HintSpreader,
    RecentFailures,
    RepeatedCalls,
    Retryability,
    RetryBudgets,
    RetryLoop,
    Step,
)
from damaskramp.testing import LoopTestCase

TEAM = TeamId("clubs")
SETTINGS = RetrySettings()


class TestRetryBudgets(LoopTestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.floats(0.0, 1.0),
        st.integers(0, 10),
        st.lists(st.sampled_from(["first", "repeat", "return"]), max_size=200),
    )
    def test_spent_never_exceeds_ratio_of_first_attempts(self, ratio, limit, steps):
        """Guards against a retry storm from granted, repeated and refunded retries."""
        budgets = RetryBudgets(SETTINGS)
        first = 0
        spent = 0
        allowances = []
        for step in steps:
            if step == "first":
                first += 1
                allowances.append(budgets.grant(TEAM, ratio, limit))
                spent += allowances[-1]
            elif step == "repeat":
                spent += budgets.spend(TEAM)
            elif allowances:
                unspent = allowances.pop()
                budgets.refund(TEAM, unspent)
                spent -= unspent
            self.assertLessEqual(spent, first * ratio + 1e-6)

    def test_teams_have_separate_budgets(self):
        budgets = RetryBudgets(SETTINGS)
        for _ in range(10):
            budgets.grant(TEAM, 0.5, 0)
        self.assertEqual(0, budgets.grant(TeamId("press"), 0.5, 2))
        self.assertEqual(2, budgets.grant(TEAM, 0.5, 2))

    def test_unspent_retries_are_bounded(self):
        budgets = RetryBudgets(SETTINGS)
        for _ in range(10_000):
            budgets.grant(TEAM, 0.1, 0)
        taken = sum(budgets.spend(TEAM) for _ in range(10_000))
        self.assertEqual(SETTINGS.burst, taken)

    def test_buckets_of_removed_teams_are_dropped(self):
        budgets = RetryBudgets(SETTINGS)
        budgets.grant(TEAM, 1.0, 0)
        budgets.retain(frozenset())
        self.assertFalse(budgets.spend(TEAM))


class TestRetryLoop(LoopTestCase):
    def loop(self, retries):
        return RetryLoop(SETTINGS, Backoff(SETTINGS, default_rng(1)), retries)

    @settings(derandomize=True, deadline=None)
    @given(
        st.integers(0, 10),
        st.lists(
            st.tuples(st.sampled_from(list(Retryability)), st.integers(0, 20)),
            max_size=40,
        ),
    )
    def test_attempts_are_bounded(self, retries, attempts):
        """Guards against unbounded attempts by a mix of redirects and retries."""
        loop = self.loop(retries)
        further_attempts = 0
        for retryability, unspent in attempts:
            if loop.after(retryability, unspent, 10.0).step is Step.STOP:
                break
            further_attempts += 1
        self.assertLessEqual(further_attempts, retries + SETTINGS.redirects)

    def test_downstream_hops_cannot_increase_the_budget(self):
        """Guards against a hop that reports more unspent retries than it got."""
        loop = self.loop(1)
        loop.after(Retryability.RETRIABLE, 100, 10.0)
        self.assertEqual(0, loop.left)

    def test_no_attempt_is_made_after_the_deadline(self):
        decision = self.loop(5).after(Retryability.REDIRECTABLE, 5, 0.0)
        self.assertEqual(Step.STOP, decision.step)

    def test_no_retry_is_made_if_its_wait_exceeds_the_deadline(self):
        loop = self.loop(10)
        while loop.after(Retryability.RETRIABLE, 10, 1e-4).step is not Step.STOP:
            pass
        self.assertGreater(loop.left, 0)


class TestBackoffAndHints(LoopTestCase):
    def test_waits_grow_up_to_their_limit(self):
        backoff = Backoff(SETTINGS, default_rng(1))
        early = max(backoff.wait(0) for _ in range(500))
        late = max(backoff.wait(20) for _ in range(500))
        self.assertLessEqual(early, SETTINGS.backoff_seconds)
        self.assertLessEqual(late, SETTINGS.backoff_limit_seconds)
        self.assertGreater(late, 0.9 * SETTINGS.backoff_limit_seconds)

    def test_hints_differ_and_are_never_below_the_minimum(self):
        """Guards against callers refused together that return together."""
        hints = HintSpreader(SETTINGS, default_rng(1))
        jittered = [hints.spread(0.2) for _ in range(500)]
        self.assertGreaterEqual(min(jittered), 0.2)
        self.assertGreater(max(jittered) - min(jittered), 1.5)
        self.assertEqual(0.0, hints.spread(0.0))


class TestRepeats(LoopTestCase):
    def test_hedge_of_a_running_call_is_a_repeat(self):
        """Guards against hedges that bypass the retry budget."""
        calls = RepeatedCalls()
        calls.begin(b"a")
        self.assertTrue(calls.is_repeat(b"a"))
        self.assertFalse(calls.is_repeat(b"b"))

    def test_call_after_a_success_is_not_a_repeat(self):
        calls = RepeatedCalls()
        calls.begin(b"a")
        calls.end(b"a", failed=False)
        self.assertFalse(calls.is_repeat(b"a"))

    def test_failures_are_dropped_by_age_and_number(self):
        """Guards against unbounded memory when many distinct requests fail."""
        timers = VirtualTimers()
        failures = RecentFailures(timers)
        for number in range(20_000):
            failures.add(TEAM, RequestId(str(number)))
        self.assertLess(len(failures), 10_000)
        self.assertTrue(failures.contains(TEAM, RequestId("19999")))
        self.assertFalse(failures.contains(TeamId("press"), RequestId("19999")))
        timers.advance(61.0)
        self.assertFalse(failures.contains(TEAM, RequestId("19999")))
