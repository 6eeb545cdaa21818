"""The latest bundle and the bundle in force, over varying orders of arrival.

Bundles may arrive late, repeatedly or out of order. No order of arrival may bring back
an older bundle or a withdrawn key, and of two conflicting bundles all nodes must choose
the same one.
"""

from datetime import UTC, datetime

import hypothesis.strategies as st
import testtools
from hypothesis import given, settings

from damaskramp.bundle import (
    Adoption,
    Bundle,
    BundleStore,
    SignedBundle,
    SigningKey,
    sign_bundle,
)
from damaskramp.core import KeyDigest, ZoneName

KEY = SigningKey(bytes(range(32)))
ZONE = ZoneName("z1")


def signed(
    version: int, mark: int = 0, withdrawn: tuple[str, ...] = (), **head: object
) -> SignedBundle:
    moment = datetime(2026, 1, 1 + mark, tzinfo=UTC)
    values = {"version": version, "issued": moment, "zones": ["z1", "z2"], **head}
    bundle = {"bundle": {**values, "classes": ["a"]}, "withdrawn_keys": withdrawn}
    return sign_bundle(Bundle.model_validate(bundle), KEY)


DIGESTS = tuple(character * 64 for character in "abcdef")
OFFERS = st.lists(
    st.tuples(
        st.integers(1, 4),
        st.integers(0, 2),
        st.lists(st.sampled_from(DIGESTS), max_size=2).map(tuple),
        st.booleans(),
        st.floats(0.0, 20.0),
    ),
    min_size=1,
    max_size=12,
)


class TestBundleStore(testtools.TestCase):
    @settings(deadline=None, derandomize=True)
    @given(OFFERS)
    def test_neither_version_nor_withdrawals_ever_go_back(self, offers):
        store = BundleStore(ZONE)
        now, orders, in_force, withdrawn = 0.0, [], [], set()
        for version, mark, keys, later, pause in offers:
            now += pause
            head = {"roll_first": ["z2"], "roll_seconds": 10.0} if later else {}
            bundle = signed(version, mark, keys, **head)
            store.advance(now)
            store.offer(bundle, now)
            orders.append(bundle.order)
            withdrawn |= set(keys)
            in_force.append(store.view.signed.order)
            self.assertEqual(max(orders), store.latest.order)
            self.assertEqual(sorted(in_force), in_force)
            self.assertTrue(withdrawn <= store.withdrawn)
            self.assertEqual(store.withdrawn, store.view.withdrawn)

    @settings(deadline=None, derandomize=True)
    @given(st.permutations([(2, 0), (2, 1), (2, 2), (1, 0)]))
    def test_conflicts_are_settled_alike_in_any_order(self, order):
        store = BundleStore(ZONE)
        for version, mark in order:
            store.offer(signed(version, mark), 0.0)
        best = max((signed(2, mark) for mark in range(3)), key=lambda b: b.digest)
        self.assertEqual(best.digest, store.view.signed.digest)

    def test_conflict_is_reported(self):
        store = BundleStore(ZONE)
        pair = sorted((signed(2, 0), signed(2, 1)), key=lambda b: b.digest)
        store.offer(pair[0], 0.0)
        self.assertIs(Adoption.CONFLICT_WON, store.offer(pair[1], 0.0))
        self.assertIs(Adoption.CONFLICT_LOST, store.offer(pair[0], 0.0))

    def test_later_zone_delays_bundle_but_applies_withdrawals_at_once(self):
        store = BundleStore(ZONE)
        store.offer(signed(1), 0.0)
        rollout = {"roll_first": ["z2"], "roll_seconds": 60.0}
        new = signed(2, withdrawn=DIGESTS[:1], **rollout)
        self.assertIs(Adoption.STAGED, store.offer(new, 100.0))
        self.assertEqual(1, store.view.version)
        self.assertIn(KeyDigest(DIGESTS[0]), store.view.withdrawn)
        self.assertFalse(store.advance(159.0))
        self.assertTrue(store.advance(160.0))
        self.assertEqual(2, store.view.version)

    def test_first_zone_adopts_bundle_at_once(self):
        store = BundleStore(ZoneName("z2"))
        store.offer(signed(1), 0.0)
        new = signed(2, roll_first=["z2"], roll_seconds=60.0)
        self.assertIs(Adoption.ADOPTED, store.offer(new, 100.0))
        self.assertEqual(2, store.view.version)
