"""Tests of positions in the watch tree, and of bundle deltas.

A node without a path to a reader would never receive a new bundle. A delta must leave
out only sections that the requesting node holds, and a section that is forged or still
missing must not be accepted.
"""

import hypothesis.strategies as st
import testtools
from hypothesis import given, settings

from damaskramp.bundle import verify_signed
from damaskramp.bundle.tests.test_store import DIGESTS, KEY, signed
from damaskramp.core import HostId, ServiceName, ZoneName
from damaskramp.distribution import (
    BundleDelta,
    HeldSections,
    WatchTree,
    apply_bundle_delta,
)
from damaskramp.distribution.tree import FAN_OUT, READERS
from damaskramp.membership import Member


def members(count: int) -> list[Member]:
    service, zone = ServiceName("s"), ZoneName("z1")
    return [Member(HostId(f"h{n}"), zone, "127.0.0.1:1", service) for n in range(count)]


class TestWatchTree(testtools.TestCase):
    @settings(deadline=None, derandomize=True, max_examples=30)
    @given(st.integers(1, 200))
    def test_everyone_hangs_below_a_reader(self, count):
        zone = members(count)
        trees = {member.host: WatchTree(member.host, zone) for member in zone}
        readers = [host for host, tree in trees.items() if tree.is_reader]
        self.assertEqual(min(count, READERS), len(readers))
        for host, tree in trees.items():
            depth = 0
            while not tree.is_reader:
                self.assertNotEqual(host, tree.parent.host)
                tree = trees[tree.parent.host]
                depth += 1
            self.assertTrue(depth <= 4, f"{host} is {depth} below a reader")

    def test_no_member_has_more_children_than_the_fan_out(self):
        zone = members(175)
        parents = [WatchTree(member.host, zone).parent for member in zone]
        for member in zone:
            self.assertTrue(parents.count(member) <= FAN_OUT)

    def test_node_outside_the_known_members_is_a_reader(self):
        self.assertTrue(WatchTree(HostId("h1"), []).is_reader)
        self.assertTrue(WatchTree(HostId("stranger"), members(5)).is_reader)


class TestBundleDelta(testtools.TestCase):
    def test_delta_holds_only_the_changed_sections(self):
        old, new = signed(1), signed(2, withdrawn=DIGESTS[:1])
        bundle_delta = BundleDelta.pack(new, HeldSections.of(old))
        self.assertEqual({"bundle", "withdrawn_keys"}, set(bundle_delta.sections))
        merged = apply_bundle_delta(bundle_delta, old)
        verified = verify_signed(merged, (KEY.public_hex,), "peer")
        self.assertEqual(new.digest, verified.ok.digest)
        self.assertEqual(new.bundle, verified.ok.bundle)

    def test_node_with_the_same_or_a_newer_bundle_gets_no_delta(self):
        for held in (signed(2), signed(3)):
            self.assertIsNone(BundleDelta.pack(signed(2), HeldSections.of(held)))

    def test_forged_section_is_refused(self):
        bundle_delta = BundleDelta.pack(signed(2), HeldSections.of(None))
        forged = {**bundle_delta.sections, "teams": b'[{"name":"x"}]'}
        forged_delta = BundleDelta(
            bundle_delta.manifest,
            bundle_delta.signature,
            bundle_delta.public_key,
            forged,
        )
        verified = verify_signed(
            apply_bundle_delta(forged_delta, None), (KEY.public_hex,), "peer"
        )
        self.assertIn("sections.teams: error", str(verified.error))

    def test_missing_section_is_refused(self):
        bundle_delta = BundleDelta.pack(signed(2), HeldSections.of(signed(1)))
        merged = apply_bundle_delta(bundle_delta, None)
        verified = verify_signed(merged, (KEY.public_hex,), "peer")
        self.assertIn("sections.teams: error: missing", str(verified.error))
