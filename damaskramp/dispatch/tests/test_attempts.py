"""What may be sent again, and what callers are told, after any run of events."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.core import Counters, Outcome, Reason
from damaskramp.dispatch import (
    Attempts,
    CallDepths,
    PlacementSettings,
    RefusalBudget,
    RetryBudget,
    RetryBudgetSettings,
)
from damaskramp.fleet import Route

DEADLINE = 10.0


def attempts(idempotent=True, most=3, allowance=100.0):
    budget = RetryBudget(RetryBudgetSettings(0.2, 10.0, allowance))
    route = Route("r", "h", "/", (), idempotent, 5.0, 1.0, most, 0, False)
    found = Attempts(budget, CallDepths(), Counters())
    refusal_budget = RefusalBudget(PlacementSettings(), servers=9, is_call=False)
    found.begin("draws", route, DEADLINE, 0.0, refusal_budget, 0.0)
    return found


EVENTS = st.sampled_from(["refused", "refused on arrival", "failed", "left open"])


class TestAttempts(TestCase):
    @given(st.lists(EVENTS, max_size=6), st.sampled_from(list(Reason)))
    def test_not_run_is_told_only_where_no_server_can_have_run_it(self, events, why):
        found = attempts()
        for event in events:
            if event.startswith("refused"):
                found.record_refusal(0.1, arrived=event.endswith("arrival"))
            elif event == "failed":
                found.record_run()
            else:
                found.record_abandoned("i-1")
        _, outcome = found.final_outcome(why)
        has_run = {"failed", "left open"} & set(events)
        self.assertEqual(Outcome.UNKNOWN if has_run else Outcome.NOT_RUN, outcome)

    @given(st.lists(EVENTS, max_size=8), st.integers(1, 4))
    def test_no_more_arrivals_than_the_route_allows(self, events, most):
        found = attempts(most=most)
        for event in events:
            arrived = event != "refused"
            if event.startswith("refused"):
                found.record_refusal(0.1, arrived)
                again = found.may_try_elsewhere(arrived, 1.0)
            else:
                found.record_run()
                again = found.may_repeat(1.0)
            if not again:
                break
            self.assertLess(found.arrivals, most)

    def test_what_may_have_run_is_repeated_only_if_idempotent(self):
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                found = attempts(idempotent)
                found.record_run()
                self.assertEqual(idempotent, found.may_repeat(1.0))

    def test_refusals_before_a_server_cost_no_budget(self):
        found = attempts(allowance=0.0)
        found.record_refusal(0.1, arrived=False)
        self.assertTrue(found.may_try_elsewhere(False, 1.0))
        found.record_refusal(0.3, arrived=True)
        self.assertFalse(found.may_try_elsewhere(True, 1.0))
        self.assertEqual(0.3, found.wait)

    def test_nothing_is_sent_again_when_the_deadline_is_near(self):
        found = attempts()
        found.record_refusal(0.1, arrived=False)
        self.assertFalse(found.may_try_elsewhere(False, DEADLINE - 0.01))
        found.record_run()
        self.assertFalse(found.may_repeat(DEADLINE - 0.01))

    def test_repeated_runs_are_told_to_their_calls(self):
        found = attempts()
        self.assertEqual(0.0, found.repeat_share)
        found.record_run()
        self.assertEqual(1.0, found.repeat_share)
