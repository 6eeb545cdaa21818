"""Evacuations as several hosts learn of them, in any order and across restores."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.fleet import (
    Evacuations,
    EvacuationSource,
    EvacuationState,
    EvacuationStatement,
    EvacuationTerms,
    ReportedStatement,
    StorePosition,
)
from damaskramp.fleet.evacuations import KEPT_SECONDS
from damaskramp.fleet.tests.clock import Clock

TERMS = EvacuationTerms(effect_seconds=5.0)
ZONES = ("z1", "z2")
HOSTS = 3


def begin(zone, revision, epoch=1):
    return EvacuationStatement(zone, True, revision, epoch)


def end(zone, revision, epoch=1):
    return EvacuationStatement(zone, False, revision, epoch)


def state(position, *statements, age=0.0):
    return EvacuationState(
        StorePosition(*position),
        tuple(ReportedStatement(statement, age) for statement in statements),
    )


class EvacuationsTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock(100.0)
        self.evacuations = self.host()

    def host(self):
        return Evacuations(TERMS, self.clock)

    def snapshot(self, position, *listed):
        self.evacuations.apply_snapshot(listed, StorePosition(*position))

    def changes(self, position, *statements):
        self.evacuations.apply_changes(statements, StorePosition(*position))

    def merge(self, found, epoch=1):
        self.evacuations.merge(found, epoch, self.clock.now)

    def wait(self, seconds):
        self.clock.now += seconds
        self.evacuations.expire_withdrawals()

    def assert_zones(self, *zones):
        self.assertEqual(frozenset(zones), self.evacuations.zones)


class TestOneEpoch(EvacuationsTestCase):
    """An older statement must not override a newer one, however it arrives."""

    def test_older_statements_change_nothing(self):
        self.snapshot((1, 10), begin("z1", 9))
        self.changes((1, 12), end("z1", 12))
        self.changes((1, 12), begin("z1", 9))
        self.merge(state((1, 11), begin("z1", 9)))
        self.assert_zones()
        self.changes((1, 14), begin("z1", 14))
        self.merge(state((1, 12), end("z1", 12)))
        self.merge(state((1, 13)))
        self.assert_zones("z1")

    def test_snapshot_after_a_compaction_ends_what_it_lacks(self):
        self.snapshot((1, 10), begin("z1", 9), begin("z2", 8))
        self.snapshot((1, 40), begin("z2", 8))
        self.assert_zones("z2")

    def test_snapshot_older_than_a_peers_statement_ends_nothing(self):
        self.snapshot((1, 10))
        self.merge(state((1, 30), begin("z1", 25)))
        self.snapshot((1, 20))
        self.assert_zones("z1")

    def test_list_at_the_revision_of_the_evacuation_ends_it(self):
        """The pages of a snapshot are read one after the other.

        A key that was written at the revision of the first page may be deleted before
        its own page is read.
        """
        self.snapshot((1, 10), begin("z1", 10))
        self.snapshot((1, 10))
        self.assert_zones()

    def test_key_that_is_written_again_keeps_the_age(self):
        self.snapshot((1, 10), begin("z1", 9))
        self.clock.now += 3.0
        self.changes((1, 12), begin("z1", 12))
        self.assertEqual(3.0, self.evacuations.age_of("z1"))

    def test_node_that_starts_is_not_misled_by_a_peer_that_lags_behind(self):
        self.snapshot((1, 40))
        self.merge(state((1, 20), begin("z1", 9)))
        self.assert_zones()

    def test_node_that_starts_learns_all_from_a_peer(self):
        self.assertFalse(self.evacuations.is_known)
        self.assertIsNone(self.evacuations.state())
        self.merge(state((1, 20), begin("z1", 9), age=4.0), epoch=0)
        self.assertTrue(self.evacuations.is_known)
        self.assert_zones("z1")
        self.assertEqual(4.0, self.evacuations.age_of("z1"))
        (change,) = self.evacuations.in_force
        self.assertIs(EvacuationSource.PEER, change.source)

    def test_changes_alone_are_no_complete_list(self):
        self.changes((0, 5), begin("z1", 5, epoch=0))
        self.assertFalse(self.evacuations.is_known)

    def test_callbacks_get_each_begin_and_end_once(self):
        seen = []
        self.evacuations.subscribe(
            lambda change: seen.append(
                (change.statement.zone, change.statement.evacuated, change.seconds)
            )
        )
        self.snapshot((1, 10), begin("z1", 9))
        self.snapshot((1, 11), begin("z1", 9))
        self.merge(state((1, 11), begin("z1", 9)))
        self.clock.now += 7.0
        self.changes((1, 12), end("z1", 12))
        self.assertEqual([("z1", True, 0.0), ("z1", False, 7.0)], seen)

    def test_withdrawals_of_unknown_zones_are_bounded(self):
        self.snapshot((1, 1))
        for number in range(2, 1000, 2):
            name = f"unknown-{number}"
            self.changes((1, number), begin(name, number))
            self.changes((1, number + 1), end(name, number + 1))
            self.clock.now += 1.0
        self.assertLessEqual(len(self.evacuations.state().statements), 64)


class TestRestoredStore(EvacuationsTestCase):
    """A copy may lack an evacuation, or list one that was withdrawn."""

    def test_evacuation_that_the_copy_lacks_stands_until_the_store_states_its_own(self):
        self.snapshot((1, 50), begin("z1", 50))
        self.snapshot((2, 45))
        self.wait(20.0)
        self.snapshot((2, 60))
        self.wait(KEPT_SECONDS - 21.0)
        self.changes((2, 60))
        self.assert_zones("z1")
        self.changes((2, 61), begin("z1", 61, epoch=2))
        self.changes((2, 62), end("z1", 62, epoch=2))
        self.assert_zones()

    def test_evacuation_that_is_not_written_again_ends_while_the_store_is_read(self):
        """Nobody may have seen that it was written and withdrawn in the new epoch."""
        self.snapshot((1, 50), begin("z1", 50))
        self.snapshot((2, 45))
        self.wait(10 * KEPT_SECONDS)
        self.assert_zones("z1")
        self.changes((2, 70))
        self.assert_zones()
        self.merge(state((1, 90), begin("z1", 50)), epoch=2)
        self.assert_zones()

    def test_node_that_starts_on_the_copy_learns_of_the_lost_evacuation(self):
        self.snapshot((2, 45))
        self.merge(state((1, 50), begin("z1", 50)), epoch=2)
        self.assert_zones("z1")

    def test_withdrawal_stands_a_short_time_against_the_copy(self):
        self.snapshot((1, 50), begin("z1", 50))
        self.changes((1, 60), end("z1", 60))
        self.snapshot((2, 55), begin("z1", 50, epoch=2))
        self.assert_zones()
        self.wait(TERMS.withdrawal_seconds - 0.1)
        self.merge(state((2, 55), begin("z1", 50, epoch=2)), epoch=2)
        self.assert_zones()
        self.wait(0.2)
        self.assert_zones("z1")
        self.assertLess(TERMS.withdrawal_seconds, TERMS.effect_seconds / 2)

    def test_second_restore_ends_the_wait(self):
        """A copy that lacks the evacuation must not bring it into force."""
        self.snapshot((1, 50), begin("z1", 50))
        self.changes((1, 60), end("z1", 60))
        self.snapshot((2, 55), begin("z1", 50, epoch=2))
        self.snapshot((3, 40))
        self.wait(TERMS.withdrawal_seconds + 0.1)
        self.assert_zones()

    def test_peer_tells_of_the_restore(self):
        self.snapshot((1, 50))
        self.merge(state((2, 45), begin("z1", 40, epoch=2)), epoch=2)
        self.assertEqual(StorePosition(2, 45), self.evacuations.position)
        self.assert_zones("z1")

    def test_withdrawal_that_is_written_again_ends_the_wait(self):
        self.snapshot((1, 50), begin("z1", 50))
        self.changes((1, 60), end("z1", 60))
        self.snapshot((2, 55), begin("z1", 50, epoch=2))
        self.changes((2, 56), end("z1", 56, epoch=2))
        self.wait(10.0)
        self.assert_zones()

    def test_evacuation_written_in_the_new_epoch_is_in_force_at_once(self):
        self.snapshot((1, 50), begin("z1", 50))
        self.changes((1, 60), end("z1", 60))
        self.snapshot((2, 55))
        self.changes((2, 58), begin("z1", 58, epoch=2))
        self.assert_zones("z1")

    def test_waiting_evacuation_counts_in_the_list_for_peers(self):
        """A peer that has it in force must not take its absence for a withdrawal."""
        self.snapshot((1, 60), end("z1", 60))
        self.changes((1, 60), begin("z1", 50), end("z1", 60))
        self.snapshot((2, 55), begin("z1", 50, epoch=2))
        peer = self.host()
        peer.apply_snapshot([begin("z1", 50, epoch=2)], StorePosition(2, 54))
        peer.merge(self.evacuations.state(), 2, self.clock.now)
        self.assertEqual({"z1"}, peer.zones)

    def test_statement_of_the_followed_epoch_counts_more_than_a_higher_revision(self):
        self.snapshot((1, 90), begin("z1", 90))
        self.snapshot((2, 40))
        self.changes((2, 41), begin("z1", 41, epoch=2))
        self.changes((2, 42), end("z1", 42, epoch=2))
        self.merge(state((1, 95), begin("z1", 93)), epoch=2)
        self.assert_zones()

    def test_of_two_earlier_epochs_the_later_statement_counts(self):
        self.snapshot((1, 50), begin("z1", 50))
        self.clock.now += 5.0
        self.snapshot((2, 45))
        self.changes((2, 47), begin("z1", 46, epoch=2), end("z1", 47, epoch=2))
        self.clock.now += 5.0
        self.snapshot((3, 46))
        self.merge(state((1, 50), begin("z1", 50), age=10.0), epoch=3)
        self.assert_zones()


class Store:
    """Store that evacuates, withdraws and is restored from its last copy."""

    def __init__(self):
        self.epoch, self.revision = 1, 1
        self.listed, self.events = {}, []
        self.copy = (1, {})

    def put(self, zone):
        self.revision += 1
        self.listed[zone] = self.revision
        self.events.append(begin(zone, self.revision, self.epoch))

    def delete(self, zone):
        if zone in self.listed:
            self.revision += 1
            del self.listed[zone]
            self.events.append(end(zone, self.revision, self.epoch))

    def save(self):
        self.copy = (self.revision, dict(self.listed))

    def restore(self):
        self.revision, listed = self.copy
        self.listed, self.events = dict(listed), []
        self.epoch += 1

    def read(self, host):
        position = StorePosition(self.epoch, self.revision)
        if not host.is_known or host.position.epoch != self.epoch:
            listed = [begin(z, r, self.epoch) for z, r in self.listed.items()]
            host.apply_snapshot(listed, position)
        else:
            after = host.position.revision
            new = [event for event in self.events if event.revision > after]
            host.apply_changes(new, position)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["put", "delete", "save", "restore", "read", "gossip", "start", "wait"]
        ),
        st.integers(0, HOSTS - 1),
        st.integers(0, HOSTS - 1),
        st.sampled_from(ZONES),
    ),
    max_size=60,
)


class TestSeveralHosts(EvacuationsTestCase):
    def play(self, actions):
        store, hosts = Store(), [self.host() for _ in range(HOSTS)]
        for kind, first, second, zone in actions:
            self.clock.now += 0.1
            if kind in ("put", "delete"):
                getattr(store, kind)(zone)
            elif kind in ("save", "restore"):
                getattr(store, kind)()
            elif kind == "read":
                store.read(hosts[first])
            elif kind == "start":
                hosts[first] = self.host()
            elif kind == "wait":
                self.clock.now += 5.0
            elif hosts[second].is_known:
                epoch = hosts[first].position.epoch
                hosts[first].merge(hosts[second].state(), epoch, self.clock.now)
            for host in hosts:
                host.expire_withdrawals()
        return store, hosts

    @settings(max_examples=500, deadline=None)
    @given(ACTIONS)
    def test_hosts_that_read_the_store_come_to_agree_with_it(self, actions):
        store, hosts = self.play(actions)
        for host in hosts:
            store.read(host)
        self.clock.now += TERMS.effect_seconds
        for host in hosts:
            host.expire_withdrawals()
            self.assertLessEqual(set(store.listed), host.zones)
        self.clock.now += KEPT_SECONDS
        for host in hosts:
            store.read(host)
            self.assertEqual(set(store.listed), host.zones)

    @settings(max_examples=500, deadline=None)
    @given(ACTIONS)
    def test_gossip_alone_brings_a_host_to_the_state_of_a_reader(self, actions):
        store, hosts = self.play([a for a in actions if a[0] != "restore"])
        reader, other = hosts[0], hosts[1]
        store.read(reader)
        other.merge(reader.state(), 1, self.clock.now)
        self.assertEqual(set(store.listed), set(reader.zones))
        self.assertEqual(reader.zones, other.zones)
