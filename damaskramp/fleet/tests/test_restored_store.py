"""Directories of several hosts while the store is restored from copies."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.fleet import BackendServer, Directory, Removal, StorePosition
from damaskramp.fleet.directory import OVERRIDE_SECONDS, REREGISTRATION_SECONDS
from damaskramp.fleet.tests.clock import Clock

SERVERS = "abc"
HOSTS = 3


def server(name, revision, number=1, started=1, epoch=1, leaving=False):
    return BackendServer(
        name, "s", "10.0.0.1:80", "z", 8, leaving, 0.0, started, revision, number, epoch
    )


class TestEpochs(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock(100.0)
        self.directory = Directory(self.clock)
        self.directory.replace([server("a", 3), server("b", 4)], StorePosition(1, 4))

    def listed(self):
        return {s.id: (s.report_number, s.leaving) for s in self.directory.servers}

    def wait(self, seconds):
        self.clock.now += seconds
        self.directory.apply_deferred()

    def test_leaving_server_stays_leaving_when_the_copy_lists_it_as_ready(self):
        self.directory.merge([server("a", 9, number=5, leaving=True)])
        self.directory.replace(
            [server("a", 3, epoch=2), server("b", 4, epoch=2)], StorePosition(2, 4)
        )
        self.assertEqual({"a": (5, True), "b": (1, False)}, self.listed())

    def test_report_below_the_known_revision_counts_in_a_new_epoch(self):
        self.directory.merge([server("a", 90, number=5)])
        self.directory.replace([server("b", 4, epoch=2)], StorePosition(2, 4))
        self.directory.merge([server("a", 5, number=7, leaving=True, epoch=2)])
        self.assertEqual((7, True), self.listed()["a"])

    def test_new_start_under_the_same_id_counts_in_a_new_epoch(self):
        self.directory.merge([server("a", 90, number=50, leaving=True)])
        listed = [server("a", 4, number=1, started=2, epoch=2)]
        self.directory.replace(listed, StorePosition(2, 6))
        self.assertEqual((1, False), self.listed()["a"])

    def test_report_of_a_clock_set_back_counts_once_written_in_the_epoch(self):
        self.directory.merge([server("a", 90, number=50, started=9)])
        self.directory.replace([server("a", 3, epoch=2)], StorePosition(2, 6))
        self.directory.merge([server("a", 7, number=1, started=2, epoch=2)])
        self.assertEqual((1, False), self.listed()["a"])

    def test_removed_server_of_the_copy_is_listed_again_only_if_the_store_insists(self):
        self.directory.merge([], [Removal("a", 9)._replace(epoch=1)])
        copy = [server("a", 3, epoch=2), server("b", 4, epoch=2)]
        self.directory.replace(copy, StorePosition(2, 4))
        self.assertEqual({"b"}, set(self.listed()))
        self.wait(OVERRIDE_SECONDS)
        self.assertEqual({"a", "b"}, set(self.listed()))

    def test_removed_server_that_the_store_removes_again_is_not_listed(self):
        self.directory.merge([], [Removal("a", 9, 1)])
        self.directory.replace([server("a", 3, epoch=2)], StorePosition(2, 4))
        self.directory.merge([], [Removal("a", 5, 2)], StorePosition(2, 5))
        self.wait(OVERRIDE_SECONDS)
        self.assertNotIn("a", self.listed())

    def test_server_that_the_copy_lacks_is_removed_after_the_time_to_return(self):
        self.directory.replace([server("a", 3, epoch=2)], StorePosition(2, 3))
        self.assertEqual({"a", "b"}, set(self.listed()))
        self.wait(REREGISTRATION_SECONDS)
        self.assertEqual({"a"}, set(self.listed()))

    def test_server_that_returns_in_time_is_kept(self):
        self.directory.replace([server("a", 3, epoch=2)], StorePosition(2, 3))
        self.directory.merge([server("b", 4, number=2, epoch=2)])
        self.wait(REREGISTRATION_SECONDS)
        self.assertEqual({"a", "b"}, set(self.listed()))

    def test_peer_of_an_earlier_epoch_adds_no_server(self):
        self.directory.replace([server("a", 3, epoch=2)], StorePosition(2, 3))
        self.wait(REREGISTRATION_SECONDS)
        self.directory.merge(
            [server("b", 4), server("c", 80)], (), StorePosition(1, 90)
        )
        self.assertEqual({"a"}, set(self.listed()))
        self.assertEqual(StorePosition(2, 3), self.directory.position)

    def test_deferred_removal_reaches_a_peer_that_is_complete_up_to_it(self):
        self.directory.replace([server("a", 3, epoch=2)], StorePosition(2, 3))
        self.wait(REREGISTRATION_SECONDS)
        update = self.directory.update_for(StorePosition(2, 3))
        self.assertEqual(["b"], [removal.server for removal in update.removed])

    def test_peer_without_old_deletions_does_not_hide_them(self):
        """A host that has just read the whole list knows no deletion before it."""
        started = Directory(self.clock)
        started.replace([server("a", 3)], StorePosition(1, 9))
        update = started.update_for(self.directory.position)
        self.directory.apply_update(update, states_later_epoch=False)
        self.assertEqual({"a"}, set(self.listed()))


class Store:
    """Store that can be copied and restored, and the servers that write to it.

    Servers write again what a restore has lost once `rewrite` is called.
    """

    def __init__(self):
        self.epoch, self.revision = 1, 10
        self.entries, self.events = {}, []
        self.reports = {}
        self.copies = [({}, 10)]

    def report(self, name, leaving=False):
        if name not in self.reports or self.reports[name] is None:
            return
        started, number, known_leaving = self.reports[name]
        self.reports[name] = (started, number + 1, leaving or known_leaving)
        self._write(name)

    def start(self, name, started):
        self.reports[name] = (started, 1, False)
        self._write(name)

    def end(self, name):
        self.reports[name] = None
        if name in self.entries:
            self.revision += 1
            del self.entries[name]
            self.events.append((self.revision, name, None))

    def copy(self):
        self.copies.append((dict(self.entries), self.revision))

    def restore(self, copy):
        entries, self.revision = self.copies[copy % len(self.copies)]
        self.copies = [c for c in self.copies if c[1] <= self.revision]
        self.entries = dict(entries)
        self.events = [e for e in self.events if e[0] <= self.revision]
        self.epoch += 1

    def rewrite(self):
        for name, report in self.reports.items():
            if report is None:
                self.end(name)
            elif name not in self.entries or self.entries[name][1:] != report:
                self.report(name)

    def _write(self, name):
        self.revision += 1
        self.entries[name] = (self.revision, *self.reports[name])
        self.events.append((self.revision, name, self.entries[name]))

    def describe(self, name, entry):
        revision, started, number, leaving = entry
        return server(name, revision, number, started, self.epoch, leaving)


class Host:
    """Host that reads the store and asks other hosts, as relay nodes do."""

    def __init__(self, clock):
        self.clock = clock
        self.directory = Directory(clock)
        self.cursor = None
        self.stated_at = -math.inf
        self.left = set()

    def poll(self, store):
        position = StorePosition(store.epoch, store.revision)
        cursor, self.cursor = self.cursor, position
        self.stated_at = self.clock()
        if cursor is None or cursor.epoch != store.epoch:
            listed = [store.describe(n, e) for n, e in store.entries.items()]
            self.directory.replace(listed, position)
            return
        events = [e for e in store.events if e[0] > cursor.revision]
        last = {name: (revision, entry) for revision, name, entry in events}
        self.directory.merge(
            [store.describe(n, entry) for n, (_, entry) in last.items() if entry],
            [Removal(n, r, store.epoch) for n, (r, entry) in last.items() if not entry],
            position,
        )

    def ask(self, peer):
        update = peer.directory.update_for(self.directory.position)
        is_later = peer.stated_at > self.stated_at
        self.directory.apply_update(update, is_later)
        if update.position.epoch == self.directory.epoch:
            self.stated_at = max(self.stated_at, peer.stated_at)

    def check_leaving(self):
        """Return servers that are listed as ready after they were known to leave."""
        ready = {(s.id, s.started) for s in self.directory.servers if not s.leaving}
        self.left |= {(s.id, s.started) for s in self.directory.servers if s.leaving}
        return ready & self.left


ACTIONS = st.one_of(
    st.tuples(st.just("start"), st.sampled_from(SERVERS)),
    st.tuples(st.just("report"), st.sampled_from(SERVERS)),
    st.tuples(st.just("leave"), st.sampled_from(SERVERS)),
    st.tuples(st.just("end"), st.sampled_from(SERVERS)),
    st.tuples(st.just("copy"), st.just(0)),
    st.tuples(st.just("restore"), st.integers(0, 5)),
    st.tuples(st.just("rewrite"), st.just(0)),
    st.tuples(st.just("poll"), st.integers(0, HOSTS - 1)),
    st.tuples(st.just("ask"), st.permutations(range(HOSTS))),
    st.tuples(st.just("wait"), st.sampled_from([0.1, 1.0, 3.0])),
    st.tuples(st.just("new host"), st.integers(0, HOSTS - 1)),
)


class TestAnyHistory(TestCase):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(st.lists(ACTIONS, max_size=40))
    def test_all_hosts_list_what_the_servers_say_once_they_have_said_it_again(
        self, actions
    ):
        clock, store = Clock(100.0), Store()
        hosts = [Host(clock) for _ in range(HOSTS)]
        for step, action in enumerate(actions, 1):
            self.apply(action, step, clock, store, hosts)
            for host in hosts:
                self.assertEqual(set(), host.check_leaving())
        store.rewrite()
        hosts[0].poll(store)
        self.settle(clock, hosts)
        store.rewrite()
        clock.now += OVERRIDE_SECONDS
        self.settle(clock, hosts)
        expected = {name: (entry[1], entry[3]) for name, entry in store.entries.items()}
        for host in hosts:
            listed = {s.id: (s.started, s.leaving) for s in host.directory.servers}
            self.assertEqual(expected, listed)

    def apply(self, action, step, clock, store, hosts):
        kind, what = action
        clock.now += 0.01
        if kind == "start":
            store.start(what, step)
        elif kind in ("report", "leave"):
            store.report(what, leaving=kind == "leave")
        elif kind == "end":
            store.end(what)
        elif kind == "copy":
            store.copy()
        elif kind == "restore":
            store.restore(what)
        elif kind == "rewrite":
            store.rewrite()
        elif kind == "poll":
            hosts[what].poll(store)
        elif kind == "ask":
            hosts[what[0]].ask(hosts[what[1]])
        elif kind == "wait":
            clock.now += what
            for host in hosts:
                host.directory.apply_deferred()
        else:
            hosts[what] = Host(clock)

    def settle(self, clock, hosts):
        """Let all hosts ask each other while deferred removals become due."""
        for _ in range(8):
            clock.now += 0.4
            for host in hosts:
                host.directory.apply_deferred()
                for peer in hosts:
                    if peer is not host:
                        host.ask(peer)
