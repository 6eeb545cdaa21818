"""Many servers with two slots each: callers get room where there is some."""

from testtools import TestCase

from benchmarks.few_slots import Fleet
from damaskramp.dispatch import PlacingSettings, Tries


class TestFewSlots(TestCase):
    """Load: short calls and long new requests share slots; 195 hosts choose."""

    def play(self, load, settings):
        return Fleet(settings, load, seed=2, servers=30, entries=90).play(4.0)

    def test_calls_find_a_free_slot_below_capacity(self):
        patient = PlacingSettings(call_tries=3, most_tries=3, eager=False)
        before, now = self.play(0.8, patient), self.play(0.8, PlacingSettings())
        self.assertGreaterEqual(now.goodput("call"), 0.95)
        self.assertGreaterEqual(now.goodput("view"), 0.85)
        self.assertLess(before.goodput("call"), 0.95)
        self.assertLess(now.wait("call", 99), before.wait("call", 99) / 2)
        asked = sum(now.asked.values())
        self.assertLessEqual(now.refused_with_free_slot, 0.01 * asked)
        self.assertLessEqual(now.messages, 3 * asked)

    def test_more_is_served_beyond_capacity_too(self):
        patient = PlacingSettings(call_tries=3, most_tries=3, eager=False)
        before, now = self.play(1.2, patient), self.play(1.2, PlacingSettings())
        for kind in ("call", "view"):
            self.assertGreater(now.goodput(kind), before.goodput(kind), kind)


class TestTries(TestCase):
    def test_last_try_waits(self):
        for is_call in (False, True):
            tries = Tries(PlacingSettings(), servers=50, is_call=is_call)
            eager = []
            while tries.may_go_on():
                eager.append(tries.is_eager(others=40))
                tries.refused()
            self.assertEqual([True] * (len(eager) - 1) + [False], eager)

    def test_only_server_is_never_asked_eagerly(self):
        self.assertFalse(Tries(PlacingSettings(), 1, True).is_eager(others=0))
        self.assertFalse(Tries(PlacingSettings(), 9, True).is_eager(others=0))
