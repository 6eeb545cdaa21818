"""Tests of the shares of zones.

A share that rises before every other zone keeps to the same bundle lets the zones
together admit more than the team's rate.
"""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.quota import Allotment, ShareLedger, allot
from damaskramp.quota.shares import bundle_order
from damaskramp.quota.tests.fleet import make_view
from damaskramp.testing import LoopTestCase

ZONES = ["a", "b", "c"]
FIRST = {"a": 0.5, "b": 0.25, "c": 0.25}
SECOND = {"a": 0.25, "b": 0.5, "c": 0.25}


def view(version, zone_shares, rate=40.0, burst=8):
    team = {"name": "t", "rate": rate, "burst": burst, "zone_shares": zone_shares}
    return make_view(version, ZONES, [team])


class TestAllot(LoopTestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.integers(0, 9), min_size=3, max_size=3).filter(any),
        st.integers(1, 50),
        st.floats(0.1, 1000.0),
    )
    def test_shares_sum_to_the_whole(self, weights, burst, rate):
        shares = {z: w / sum(weights) for z, w in zip(ZONES, weights, strict=True)}
        bundle = view(1, shares, rate, burst)
        parts = [allot(bundle, bundle.team("t"), zone) for zone in ZONES]
        self.assertEqual(burst, sum(part.burst for part in parts))
        self.assertTrue(math.isclose(rate, sum(part.rate for part in parts)))
        self.assertTrue(all(part.burst > 0 or part.rate == 0 for part in parts))


class TestShareLedger(LoopTestCase):
    def ledger(self, zone):
        ledger = ShareLedger(zone, 60.0)
        ledger.adopt(view(1, FIRST), 0.0, 2e9)
        return ledger

    def test_fall_takes_effect_at_once(self):
        ledger = self.ledger("a")
        ledger.adopt(view(2, SECOND), 1.0, 2e9)
        self.assertEqual(Allotment(10.0, 2.0), ledger.effective("t"))
        self.assertTrue(ledger.settled("t"))

    def test_rise_waits_for_every_other_zone(self):
        ledger = self.ledger("b")
        second = view(2, SECOND)
        ledger.adopt(second, 1.0, 2e9)
        self.assertEqual(Allotment(10.0, 2.0), ledger.effective("t"))
        self.assertFalse(ledger.confirm("t", "a", bundle_order(second)))
        self.assertEqual(Allotment(10.0, 2.0), ledger.effective("t"))
        self.assertTrue(ledger.confirm("t", "c", bundle_order(second)))
        self.assertEqual(Allotment(20.0, 4.0), ledger.effective("t"))

    def test_other_versions_confirm_nothing(self):
        ledger = self.ledger("b")
        ledger.adopt(view(2, SECOND), 1.0, 2e9)
        for other in (view(1, FIRST), view(3, FIRST)):
            for zone in ("a", "c"):
                self.assertFalse(ledger.confirm("t", zone, bundle_order(other)))
        self.assertFalse(ledger.settled("t"))

    def test_new_node_trusts_only_a_bundle_of_some_age(self):
        bundle = view(2, SECOND)
        issued = bundle.contents.bundle.issued.timestamp()
        for age, rate in ((59.0, 0.0), (61.0, 20.0)):
            ledger = ShareLedger("b", 60.0)
            ledger.adopt(bundle, 0.0, issued + age)
            self.assertEqual(rate, ledger.effective("t").rate)
