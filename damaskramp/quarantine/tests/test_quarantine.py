"""Tests of the death ledger, its broadcast in a zone, and the detection of deaths."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.config import QuarantineSettings
from damaskramp.core import HostId, TeamId, VirtualTimers, ZoneName
from damaskramp.membership import Broadcast, Item
from damaskramp.quarantine import (
    Death,
    DeathLedger,
    Observation,
    Quarantine,
    QuarantineStatus,
    RunningCalls,
    decode,
    encode,
    fingerprint,
)
from damaskramp.testing import LoopTestCase

BOUNDS = QuarantineSettings()
ITEM = fingerprint(TeamId("clubs"), "/desk", "POST", "/desk", b"poison")
OTHER = fingerprint(TeamId("clubs"), "/desk", "POST", "/desk", b"other")
ZONE = ZoneName("z1")
NOW = 1_700_000_000_000


class TestDeathLedger(LoopTestCase):
    def ledger(self, *facts):
        ledger = DeathLedger(BOUNDS)
        for fact in facts:
            if isinstance(fact, Death):
                ledger.add_death(ITEM, fact)
            else:
                ledger.add_success(ITEM, fact)
        return ledger

    def test_second_death_quarantines(self):
        ledger = self.ledger(Death(HostId("a"), NOW))
        self.assertEqual(QuarantineStatus.SUSPECT, ledger.quarantine_status(ITEM, NOW))
        ledger.add_death(ITEM, Death(HostId("b"), NOW + 1))
        self.assertEqual(
            QuarantineStatus.QUARANTINED, ledger.quarantine_status(ITEM, NOW + 1)
        )
        self.assertEqual(
            QuarantineStatus.CLEAR, ledger.quarantine_status(OTHER, NOW + 1)
        )

    def test_death_reported_twice_counts_once(self):
        ledger = self.ledger(Death(HostId("a"), NOW), Death(HostId("a"), NOW))
        self.assertEqual(
            QuarantineStatus.SUSPECT, ledger.quarantine_status(ITEM, NOW + 40)
        )

    def test_death_of_a_host_that_was_restarted_at_once_counts(self):
        # Two deaths on one host are different facts if their times differ.
        ledger = self.ledger(Death(HostId("a"), NOW), Death(HostId("a"), NOW + 300))
        self.assertEqual(
            QuarantineStatus.QUARANTINED, ledger.quarantine_status(ITEM, NOW + 300)
        )

    def test_success_clears_earlier_deaths(self):
        ledger = self.ledger(Death(HostId("a"), NOW), NOW + 5)
        self.assertEqual(
            QuarantineStatus.CLEAR, ledger.quarantine_status(ITEM, NOW + 6)
        )
        ledger.add_death(ITEM, Death(HostId("b"), NOW + 10))
        self.assertEqual(
            QuarantineStatus.SUSPECT, ledger.quarantine_status(ITEM, NOW + 10)
        )

    def test_statuses_expire_on_time(self):
        suspect = self.ledger(Death(HostId("a"), NOW))
        later = NOW + int(BOUNDS.suspect_seconds * 1000)
        self.assertEqual(
            QuarantineStatus.SUSPECT, suspect.quarantine_status(ITEM, later - 1)
        )
        self.assertEqual(QuarantineStatus.CLEAR, suspect.quarantine_status(ITEM, later))
        quarantined = self.ledger(Death(HostId("a"), NOW), Death(HostId("b"), NOW))
        later = NOW + int(BOUNDS.quarantine_seconds * 1000)
        self.assertEqual(
            QuarantineStatus.QUARANTINED, quarantined.quarantine_status(ITEM, later - 1)
        )
        self.assertEqual(
            QuarantineStatus.CLEAR, quarantined.quarantine_status(ITEM, later)
        )
        quarantined.expire(later)
        self.assertEqual(0, len(quarantined))

    def test_memory_is_bounded(self):
        ledger = DeathLedger(BOUNDS)
        for number in range(3 * BOUNDS.suspects):
            ledger.add_death(number, Death(HostId("a"), NOW))
        self.assertEqual(BOUNDS.suspects, len(ledger))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.data())
    def test_order_and_repetition_do_not_matter(self, data):
        moments = st.integers(NOW, NOW + 20_000)
        deaths = st.builds(Death, st.sampled_from("abc").map(HostId), moments)
        facts = data.draw(st.lists(st.one_of(deaths, moments), max_size=12))
        other = data.draw(st.permutations(facts + facts[: len(facts) // 2]))
        now = NOW + data.draw(st.integers(0, 1_000_000))
        self.assertEqual(
            self.ledger(*facts).quarantine_status(ITEM, now),
            self.ledger(*other).quarantine_status(ITEM, now),
        )


class BroadcastNetwork:
    """Network that delivers each item to all other hosts immediately."""

    def __init__(self):
        self.broadcasts = []
        self.items = []

    def deliver_to_others(self, item):
        self.items.append(item)
        for broadcast in self.broadcasts:
            if broadcast.host != item.origin:
                broadcast.deliver(item)


class NetworkBroadcast(Broadcast):
    def __init__(self, network, host):
        super().__init__()
        self.host = host
        self._network = network
        network.broadcasts.append(self)

    def announce(self, topic, key, version, payload):
        self._network.deliver_to_others(Item(topic, key, version, payload, self.host))


class TestQuarantine(LoopTestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.network = BroadcastNetwork()

    def node(self, host, zone=ZONE):
        broadcast = NetworkBroadcast(self.network, HostId(host))
        return Quarantine(BOUNDS, self.timers, HostId(host), zone, broadcast)

    def test_death_is_known_in_the_zone_and_only_there(self):
        one, two, far = self.node("a"), self.node("b"), self.node("c", ZoneName("z2"))
        one.record_death([ITEM])
        self.assertEqual(QuarantineStatus.SUSPECT, two.quarantine_status(ITEM))
        self.assertFalse(far.watching)
        two.record_death([ITEM])
        for node in (one, two):
            self.assertEqual(QuarantineStatus.QUARANTINED, node.quarantine_status(ITEM))

    def test_broadcast_and_reply_about_one_death_count_once(self):
        # An entry node learns of a death by broadcast and again from the reply.
        one, entry = self.node("a"), self.node("b")
        death_ms = one.record_death([ITEM])
        entry.record_remote_death(ITEM, Death(HostId("a"), death_ms))
        self.assertEqual(1, entry.deaths(ITEM))

    def test_success_clears_in_the_zone(self):
        one, two = self.node("a"), self.node("b")
        one.record_death([ITEM])
        self.timers.advance(1.0)
        two.record_success(ITEM)
        self.assertEqual(QuarantineStatus.CLEAR, two.quarantine_status(ITEM))
        self.timers.advance(1.0)
        self.assertEqual(QuarantineStatus.CLEAR, one.quarantine_status(ITEM))

    def test_deaths_reported_by_a_call_count_without_broadcast(self):
        node = self.node("a")
        self.assertEqual(
            QuarantineStatus.SUSPECT, node.quarantine_status(ITEM, deaths=1)
        )
        self.assertEqual(
            QuarantineStatus.QUARANTINED, node.quarantine_status(ITEM, deaths=2)
        )

    def test_items_are_small_and_few(self):
        node = self.node("a")
        node.record_death(list(range(BOUNDS.suspects_per_death)))
        self.assertLessEqual(len(self.network.items), 6)
        sizes = [len(item.payload) for item in self.network.items]
        self.assertLessEqual(max(sizes), 300)
        for _ in range(100):
            node.record_death([ITEM])
        self.assertLessEqual(len({item.key for item in self.network.items}), 32)
        versions = [item.version for item in self.network.items]
        self.assertEqual(sorted(set(versions)), versions)

    def test_unreadable_item_is_ignored(self):
        node = self.node("a")
        for broadcast in self.network.broadcasts:
            broadcast.deliver(Item(None, "k", 1, b"\xff", HostId("b")))
        node._receive(Item(None, "k", 1, b"\xff", HostId("b")))
        self.assertFalse(node.watching)

    def test_suspect_lock_admits_one_holder(self):
        async def use():
            node = self.node("a")
            await node.suspect_lock.acquire()
            waiting = asyncio.ensure_future(node.suspect_lock.acquire())
            await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            node.suspect_lock.release()
            await waiting

        self.run_loop(use())

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 2**63), st.booleans(), st.lists(st.integers(0, 2**64 - 1)))
    def test_observations_round_trip(self, at_ms, succeeded, items):
        sent = Observation(ZONE, HostId("a"), at_ms, succeeded, tuple(items))
        self.assertEqual(sent, decode(encode(sent)).ok)


class TestRunningCalls(LoopTestCase):
    def test_one_broken_connection_is_no_death(self):
        calls = RunningCalls()
        calls.mark_broken(calls.begin("a"))
        self.assertFalse(calls.all_broken)

    def test_running_older_call_contradicts_a_death(self):
        # A dead process breaks all its connections, so an older call would break too.
        calls = RunningCalls()
        calls.begin("a")
        calls.mark_broken(calls.begin("b"))
        calls.mark_broken(calls.begin("c"))
        self.assertFalse(calls.all_broken)

    def test_calls_that_break_late_belong_to_the_previous_death(self):
        calls = RunningCalls()
        first, second = calls.begin("a"), calls.begin("b")
        calls.mark_broken(first)
        self.assertEqual(["a"], calls.broken(9))
        calls.next_process()
        calls.end(first)
        calls.mark_broken(second)
        calls.mark_broken(calls.begin("c"))
        self.assertEqual(["b"], calls.broken_late(9))
        self.assertEqual(["c"], calls.broken(9))

    def test_younger_call_may_run_on_the_next_process(self):
        # A call that began after the death runs on the restarted backend server.
        calls = RunningCalls()
        calls.mark_broken(calls.begin("a"))
        calls.mark_broken(calls.begin("b"))
        calls.begin("c")
        self.assertTrue(calls.all_broken)
