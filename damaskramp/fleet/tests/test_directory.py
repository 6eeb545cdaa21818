"""Merging of backend servers in any order, retention, and ages of proofs."""

import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.fleet import (
    BackendServer,
    Directory,
    Freshness,
    Removal,
    StorePosition,
)
from damaskramp.fleet.host_list import HOST_RETENTION_SECONDS
from damaskramp.fleet.tests.clock import Clock


def server(name, revision, leaving=False, address="10.0.0.1:80", started=0):
    return BackendServer(
        name, "draws", address, "a", 8, leaving, 0.0, started, revision
    )


class TestDirectory(TestCase):
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=20
        ),
        st.integers(0, 2**32),
    )
    def test_changes_merge_to_the_same_view_in_any_order(self, events, seed):
        changes = [(n, r, put) for r, (n, put) in enumerate(events, 1)]
        views = []
        for shuffled in (changes, random.Random(seed).sample(changes, len(changes))):
            directory = Directory(Clock())
            for name, revision, put in shuffled:
                if put:
                    directory.merge([server(name, revision)])
                else:
                    directory.merge([], [Removal(name, revision)])
            views.append({(s.id, s.revision) for s in directory.servers})
        last = {name: (revision, put) for name, revision, put in changes}
        expected = {(name, revision) for name, (revision, put) in last.items() if put}
        self.assertEqual([expected, expected], views)

    def test_snapshot_removes_missing_servers_but_no_newer_ones(self):
        directory = Directory(Clock())
        directory.merge([server("old", 3), server("new", 9)])
        directory.replace((), StorePosition(0, 5))
        self.assertEqual(["new"], [s.id for s in directory.servers])

    def test_old_description_missing_from_a_snapshot_is_ignored(self):
        """A process that has just started has no tombstone of an earlier deletion."""
        directory = Directory(Clock())
        directory.replace((server("here", 5),), StorePosition(0, 9))
        directory.merge([server("left", 4), server("here", 4), server("new", 10)])
        self.assertEqual({"here", "new"}, {s.id for s in directory.servers})
        self.assertEqual(5, directory.servers[0].revision)
        # A description that the store itself lists is accepted.
        directory.replace((server("here", 5), server("left", 4)), StorePosition(0, 9))
        self.assertTrue(directory.is_listed("left"))

    def test_latest_lifetime_at_an_address_is_found(self):
        directory = Directory(Clock())
        directory.merge([server("a", 5, started=1), server("b", 4, started=2)])
        self.assertEqual("b", directory.find_by_address("10.0.0.1:80", "draws").id)
        self.assertIsNone(directory.find_by_address("10.0.0.1:80", "other"))

    def test_deferred_removal_spares_servers_that_return_after_an_outage(self):
        """Descriptions expire during an outage although their servers are alive."""
        clock = Clock()
        directory = Directory(clock)
        directory.merge([server("back", 3), server("gone", 4)])
        directory.defer_removals(until=2.0)
        directory.merge([], [Removal("back", 7), Removal("gone", 8)])
        self.assertEqual(2, len(directory.servers))
        directory.merge([server("back", 9)])
        clock.now = 1.9
        self.assertFalse(directory.apply_deferred())
        clock.now = 2.0
        self.assertTrue(directory.apply_deferred())
        self.assertEqual(["back"], [s.id for s in directory.servers])

    def test_hosts_are_retained_for_a_time_after_removal(self):
        clock = Clock()
        directory = Directory(clock)
        directory.merge([server("a", 1, address="10.0.0.2:80")])
        directory.merge([], [Removal("a", 2)])
        clock.now = 19.0
        self.assertEqual([("10.0.0.2", "a")], directory.hosts())
        clock.now = 21.0
        self.assertEqual([], directory.hosts())

    def test_hosts_are_the_same_object_until_a_host_changes(self):
        # What follows from the list, as the readers of a zone and the shares of teams,
        # would be computed again for each description that is written again.
        clock = Clock()
        directory = Directory(clock)
        directory.merge([server("a", 1, address="10.0.0.2:80")])
        hosts = directory.hosts()
        clock.now = 30.0
        directory.merge([server("a", 2, address="10.0.0.2:80", leaving=True)])
        self.assertIs(hosts, directory.hosts())
        directory.merge([], [Removal("a", 3)])
        clock.now = 40.0
        directory.merge([server("b", 4, address="10.0.0.2:81")])
        self.assertIs(hosts, directory.hosts())
        clock.now = 70.0
        self.assertIs(hosts, directory.hosts())

    def test_cached_hosts_agree_with_the_servers_through_all_changes(self):
        for seed in range(40):
            source = random.Random(seed)
            clock = Clock()
            directory = Directory(clock)
            left = {}
            for revision in range(1, 120):
                clock.now += source.choice((0.125, 1.0, 6.0))
                before = {one.host for one in directory.servers}
                name = f"i{source.randrange(6)}"
                if source.random() < 0.6:
                    host = f"10.0.0.{source.randrange(6)}"
                    directory.merge([server(name, revision, address=f"{host}:80")])
                else:
                    directory.merge([], [Removal(name, revision)])
                listed = {one.host for one in directory.servers}
                left |= dict.fromkeys(before - listed, clock.now)
                retained = {
                    host
                    for host, left_at in left.items()
                    if clock.now - left_at <= HOST_RETENTION_SECONDS
                }
                if source.random() < 0.7:
                    got = [host for host, _ in directory.hosts()]
                    self.assertEqual(sorted(listed | retained), got)

    def test_host_is_retained_after_its_server_moves(self):
        clock = Clock()
        directory = Directory(clock)
        directory.merge([server("a", 1, address="10.0.0.2:80")])
        clock.now = 50.0
        directory.merge([server("a", 2, address="10.0.0.3:80")])
        clock.now = 69.0
        self.assertEqual([("10.0.0.2", "a"), ("10.0.0.3", "a")], directory.hosts())
        clock.now = 71.0
        self.assertEqual([("10.0.0.3", "a")], directory.hosts())


class TestFreshness(TestCase):
    def test_delayed_peer_answer_never_lowers_the_age(self):
        clock = Clock()
        freshness = Freshness(clock)
        clock.now = 10.0
        asked_at = freshness.now
        # The peer answers that its proof is 1 s old; the answer takes 4 s.
        clock.now = 14.0
        freshness.confirm_by_peer(asked_at, 1.0)
        self.assertEqual(5.0, freshness.age)
        freshness.confirm(8.0)
        self.assertEqual(5.0, freshness.age)
