"""Placement of requests at many servers with two slots each.

Requests that queue at the first server chosen are late while other servers have free
slots.
"""

from testtools import TestCase

from benchmarks.few_slots import Fleet
from damaskramp.dispatch import PlacementSettings, RefusalBudget


class TestFewSlots(TestCase):
    """Short calls and long new requests share slots; 90 hosts choose of 30 servers."""

    def simulate(self, load, settings):
        return Fleet(settings, load, seed=2, servers=30, entries=90).play(4.0)

    def test_calls_find_a_free_slot_below_capacity(self):
        queueing = PlacementSettings(
            call_max_refusals=3, max_refusals=3, fail_fast=False
        )
        before, now = (
            self.simulate(0.8, queueing),
            self.simulate(0.8, PlacementSettings()),
        )
        self.assertGreaterEqual(now.goodput("call"), 0.95)
        self.assertGreaterEqual(now.goodput("view"), 0.85)
        self.assertLess(before.goodput("call"), 0.95)
        self.assertLess(now.wait("call", 99), before.wait("call", 99) / 2)
        asked = sum(now.asked.values())
        self.assertLessEqual(now.refused_with_free_slot, 0.01 * asked)
        self.assertLessEqual(now.messages, 3 * asked)

    def test_goodput_is_higher_above_capacity(self):
        queueing = PlacementSettings(
            call_max_refusals=3, max_refusals=3, fail_fast=False
        )
        before, now = (
            self.simulate(1.2, queueing),
            self.simulate(1.2, PlacementSettings()),
        )
        for kind in ("call", "view"):
            self.assertGreater(now.goodput(kind), before.goodput(kind), kind)


class TestRefusalBudget(TestCase):
    def test_only_last_offer_may_wait(self):
        for is_call in (False, True):
            refusal_budget = RefusalBudget(
                PlacementSettings(), servers=50, is_call=is_call
            )
            fail_fast = []
            while refusal_budget.has_remaining():
                fail_fast.append(refusal_budget.should_fail_fast(others=40))
                refusal_budget.record_refusal()
            self.assertEqual([True] * (len(fail_fast) - 1) + [False], fail_fast)

    def test_only_server_is_never_told_to_fail_fast(self):
        self.assertFalse(
            RefusalBudget(PlacementSettings(), 1, True).should_fail_fast(others=0)
        )
        self.assertFalse(
            RefusalBudget(PlacementSettings(), 9, True).should_fail_fast(others=0)
        )
