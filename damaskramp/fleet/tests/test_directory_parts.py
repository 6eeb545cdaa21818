"""Parts of the directory: hosts, remembered deletions and listed servers."""

from testtools import TestCase

from damaskramp.fleet import BackendServer, Directory, Removal, StorePosition
from damaskramp.fleet.directory import OVERRIDE_SECONDS
from damaskramp.fleet.host_list import HOST_RETENTION_SECONDS, HostList
from damaskramp.fleet.listed_servers import ListedServers
from damaskramp.fleet.removals import (
    LATE_REMOVAL_SECONDS,
    TOMBSTONE_SECONDS,
    Removals,
)
from damaskramp.fleet.tests.clock import Clock


def _server(
    name, host="10.0.0.1", epoch=0, revision=1, warmup=0.0, started=0, zone="a"
):
    return BackendServer(
        name,
        "draws",
        f"{host}:80",
        zone,
        8,
        False,
        warmup,
        started,
        revision,
        epoch=epoch,
    )


class TestHostList(TestCase):
    """Rates are divided by the number of hosts, which must not fall too early."""

    def setUp(self):
        super().setUp()
        self.clock = Clock(100.0)
        self.hosts = HostList(self.clock)

    def test_a_host_counts_for_a_while_after_its_server_was_listed(self):
        self.assertEqual([("10.0.0.1", "a")], self.hosts.hosts([_server("x")]))
        self.hosts.record_left(_server("x"))
        self.clock.now += HOST_RETENTION_SECONDS - 1.0
        self.assertEqual([("10.0.0.1", "a")], self.hosts.hosts([]))
        self.clock.now += 2.0
        self.assertEqual([], self.hosts.hosts([]))

    def test_a_host_that_is_listed_again_has_its_new_zone(self):
        self.hosts.record_left(_server("x"))
        later = _server("y", zone="b")
        self.hosts.record_listed(later, None)
        self.assertEqual([("10.0.0.1", "b")], self.hosts.hosts([later]))

    def test_the_same_list_is_returned_until_a_change(self):
        """The readers of a zone are computed anew for each new list."""
        first = self.hosts.hosts([_server("x")])
        self.assertIs(first, self.hosts.hosts([_server("x")]))
        later = _server("x", revision=2)
        self.hosts.record_listed(later, _server("x"))
        self.assertIs(first, self.hosts.hosts([later]))
        other = _server("y", "10.0.0.2")
        self.hosts.record_listed(other, None)
        changed = self.hosts.hosts([later, other])
        self.assertEqual([("10.0.0.1", "a"), ("10.0.0.2", "a")], changed)
        moved = _server("y", "10.0.0.3")
        self.hosts.record_listed(moved, other)
        self.assertEqual(3, len(self.hosts.hosts([later, moved])))


class TestRemovals(TestCase):
    """A deletion that is forgotten too early brings a deleted server back."""

    def setUp(self):
        super().setUp()
        self.clock = Clock(100.0)
        self.removals = Removals(self.clock)

    def test_deletions_are_remembered_for_a_time(self):
        self.removals.add(Removal("x", 7), StorePosition(0, 6))
        self.clock.now += TOMBSTONE_SECONDS - 1.0
        self.removals.forget_old(0)
        self.assertEqual(7, self.removals.of("x").revision)
        self.clock.now += 2.0
        self.removals.forget_old(0)
        self.assertIsNone(self.removals.of("x"))
        # A peer that is complete up to an earlier revision needs the whole list.
        self.assertEqual(7, self.removals.known_after)

    def test_a_deletion_that_peers_have_passed_is_handed_on_for_a_time(self):
        self.removals.add(Removal("x", 5), StorePosition(0, 6))
        self.removals.add(Removal("y", 7), StorePosition(0, 6))
        self.assertEqual(["x"], [removal.server for removal in self.removals.late])
        after = self.removals.after(StorePosition(0, 6))
        self.assertEqual(["y"], [removal.server for removal in after])
        self.clock.now += LATE_REMOVAL_SECONDS + 1.0
        self.removals.forget_late()
        self.assertEqual([], self.removals.late)
        self.assertEqual({"x", "y"}, {removal.server for removal in self.removals.all})

    def test_a_deletion_with_a_newer_one_is_not_late(self):
        self.removals.add(Removal("x", 5), StorePosition(0, 6))
        self.removals.add(Removal("x", 8), StorePosition(0, 6))
        self.assertEqual([], self.removals.late)

    def test_a_server_that_is_listed_again_is_forgotten(self):
        self.removals.add(Removal("x", 5), StorePosition(0, 6))
        self.removals.forget("x")
        self.assertEqual(((), []), (self.removals.all, self.removals.late))


class TestListedServers(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock(100.0)
        self.listed = ListedServers(self.clock)

    def test_the_latest_lifetime_at_an_address_is_found(self):
        for name, started in (("old", 1), ("new", 2)):
            self.listed.add(_server(name, started=started), 100.0)
        self.listed.index(0)
        found = self.listed.find_by_address("10.0.0.1:80", "draws", 0)
        self.assertEqual("new", found.id)
        found = self.listed.find_by_address("10.0.0.1:81", "draws", 0)
        self.assertIsNone(found)

    def test_servers_of_other_epochs_are_known(self):
        self.listed.add(_server("x", epoch=1), 100.0)
        self.listed.add(_server("y", epoch=2), 100.0)
        self.listed.index(2)
        self.assertEqual(["x"], [server.id for server in self.listed.earlier])

    def test_a_warmup_counts_down_from_the_receipt_of_the_entry(self):
        server = _server("x", warmup=3.0)
        self.listed.add(server, 99.0)
        self.assertEqual(2.0, self.listed.warmup_left(server))
        self.clock.now += 9.0
        self.assertEqual(0.0, self.listed.warmup_left(server))


class TestOverriddenServer(TestCase):
    def test_the_warmup_of_a_server_that_is_listed_again_ends(self):
        """It was cold for ever, since the time of its entry had been forgotten."""
        clock = Clock(100.0)
        directory = Directory(clock)
        server = _server("x", epoch=2, revision=3, warmup=3.0)
        directory.replace([server], StorePosition(2, 4))
        directory.merge([], [Removal("x", 9, 1, (9, 9))])
        self.assertFalse(directory.is_listed("x"))
        clock.now += OVERRIDE_SECONDS + 1.0
        self.assertTrue(directory.apply_deferred())
        self.assertTrue(directory.is_listed("x"))
        self.assertEqual(0.0, directory.warmup_left(server))
