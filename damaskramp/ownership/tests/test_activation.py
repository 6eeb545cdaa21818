"""Tests that a resource never has two owners at once, under a virtual clock.

Two owners arise if a node becomes active before all others know it, or if releases
of a former owner are still accepted. Random histories search for this, and one trace
per check shows that leaving the check out gives two owners.
"""

import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from damaskramp.core import Incarnation, Section, ServiceName, VirtualTimers, ZoneName
from damaskramp.membership import Member, MemberTable
from damaskramp.ownership import (
    AcknowledgedOwnership,
    ListedOwnership,
    Owner,
    OwnershipSettings,
)
from damaskramp.ownership.tests.zone_model import (
    HOSTS,
    LIST_LAG_SECONDS,
    RESOURCES,
    SILENCE_SECONDS,
    Factory,
    Zone,
    acknowledged,
)

TAKEOVER_SECONDS = 14.0
EXAMPLES = 120
SEARCH_EXAMPLES = 1000


class ListReader(ListedOwnership):
    """Baseline that takes its member table from readings of the host list."""

    def __init__(self, timers: VirtualTimers, own: Owner) -> None:
        self._section = Section("members", MemberTable())
        super().__init__(timers, own.host, ZoneName("z"), self._section)

    def receive_list(self, hosts):
        members = (
            Member(host, ZoneName("z"), peer, ServiceName("s")) for host, peer in hosts
        )
        self._section.replace(MemberTable(members))


class WithoutAcks(AcknowledgedOwnership):
    """Fault: a node becomes active without waiting for acknowledgements."""

    def _pending_contacts(self):
        return []


class WithoutPauseCheck(AcknowledgedOwnership):
    """Fault: a node keeps its incarnation after a long pause."""

    def _check_continuity(self):
        self._last_observed_at = self._timers.now
        super()._check_continuity()


class WithoutListing(AcknowledgedOwnership):
    """Fault: a node without a sponsor becomes active although it is not listed."""

    def _may_activate_alone(self):
        return self._timers.now - self._active_since >= SILENCE_SECONDS

    def _is_listed_or_sponsored(self):
        return True


class WithoutWaitAlone(AcknowledgedOwnership):
    """Fault: a node without a sponsor becomes active as soon as it is listed."""

    def _may_activate_alone(self):
        return self._is_listed()


class WithoutRenewalAfterLostSponsor(AcknowledgedOwnership):
    """Fault: an unlisted node stays active after it has lost its sponsor."""

    def _is_listed_or_sponsored(self):
        return True


class WithoutFence(AcknowledgedOwnership):
    """Fault: releases of any node are accepted."""

    def may_release(self, resource, releaser):
        return True


def faulty_factory(kind: type) -> Factory:
    return lambda timers, own: kind(OwnershipSettings(SILENCE_SECONDS), timers, own)


class WithoutHeartbeatAge(AcknowledgedOwnership):
    """Fault: releases of an owner that was not heard from lately are accepted."""

    def may_release(self, resource, releaser):
        return self.active and self.owner(resource) == releaser


class ZoneMachine(RuleBasedStateMachine):
    """Random histories of a zone; no step may leave a resource with two owners."""

    factory: Factory = staticmethod(acknowledged)

    @initialize(
        running=st.sets(st.sampled_from(HOSTS), min_size=1),
        listed=st.sets(st.sampled_from(HOSTS)),
        seed=st.integers(0, 2**32 - 1),
    )
    def begin(self, running, listed, seed):
        self.zone = Zone(type(self).factory, seed)
        self.zone.publish(*(listed | running))
        for host in sorted(running):
            self.zone.start(host)
        self.zone.advance(16.0)

    @rule(seconds=st.sampled_from((0.5, 1.0, 2.5, 4.0, 8.0, 13.0, 30.0)))
    def advance(self, seconds):
        self.zone.advance(seconds)
        assert not self.zone.violations, self.zone.violations[0]

    @rule(host=st.sampled_from(HOSTS))
    def start(self, host):
        if host not in self.zone.processes:
            self.zone.start(host)

    @rule(host=st.sampled_from(HOSTS))
    def crash(self, host):
        if host in self.zone.processes:
            self.zone.crash(host)

    @rule(host=st.sampled_from(HOSTS))
    def stop(self, host):
        if host in self._running() and hasattr(
            self.zone.processes[host].ownership, "leave"
        ):
            self.zone.stop(host)

    @rule(host=st.sampled_from(HOSTS))
    def freeze(self, host):
        if host in self._running():
            self.zone.freeze(host)

    @rule(host=st.sampled_from(HOSTS))
    def wake(self, host):
        if host in self.zone.processes and host not in self._running():
            self.zone.wake(host)
            self.zone.check()

    @rule(host=st.sampled_from(HOSTS))
    def list_host(self, host):
        self.zone.publish(*(self.zone.listed | {host}))

    @rule(host=st.sampled_from(HOSTS))
    def drop_host(self, host):
        if host not in self.zone.processes or not self.zone.list_cut[host]:
            self.zone.publish(*(self.zone.listed - {host}))

    @rule(host=st.sampled_from(HOSTS), lag=st.floats(0.0, LIST_LAG_SECONDS))
    def lag_list(self, host, lag):
        self.zone.list_lag[host] = lag

    @precondition(lambda self: self.zone.settled)
    @rule(host=st.sampled_from(HOSTS))
    def cut_list(self, host):
        if host in self._running():
            self.zone.list_cut[host] = True

    @rule(host=st.sampled_from(HOSTS))
    def join_list(self, host):
        self.zone.list_cut[host] = False

    @rule(new=st.sets(st.sampled_from(HOSTS), min_size=1, max_size=2))
    def replace_zone(self, new):
        for host in list(self.zone.processes):
            self.zone.crash(host)
        self.zone.publish(*(self.zone.listed | new))
        for host in sorted(new):
            self.zone.start(host)

    def _running(self):
        return {h for h, p in self.zone.processes.items() if not p.frozen}


def search(factory: Factory, examples: int) -> None:
    machine = type("Machine", (ZoneMachine,), {"factory": staticmethod(factory)})
    checks = settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        phases=(Phase.generate,),
        stateful_step_count=40,
        suppress_health_check=list(HealthCheck),
        database=None,
        print_blob=False,
    )
    run_state_machine_as_test(machine, settings=checks)


def newcomer_while_owner_pauses(zone: Zone) -> None:
    """A newcomer is acknowledged by one member while another pauses briefly."""
    zone.publish("a", "b")
    start(zone, "a", "b")
    zone.freeze("a")
    zone.publish("a", "b", "c")
    zone.start("c")
    zone.advance(2.5)
    zone.wake("a")
    zone.check()
    zone.advance(5.0)


def owner_wakes_late(zone: Zone) -> None:
    """An owner is frozen until others have taken over, and then wakes."""
    zone.publish("a", "b", "c")
    start(zone, "a", "b", "c")
    zone.freeze("a")
    zone.advance(20.0)
    zone.wake("a")
    zone.check()
    zone.advance(20.0)


def newcomers_never_listed(zone: Zone) -> None:
    """All nodes of a zone are replaced by two that the list does not show."""
    zone.publish()
    start(zone, "a", "b")
    zone.advance(20.0)


def list_swaps_hosts(zone: Zone) -> None:
    """The list replaces a live host by another, and the live host reads it late."""
    zone.list_lag["a"] = LIST_LAG_SECONDS
    zone.publish("a")
    start(zone, "a")
    zone.publish("b")
    zone.start("b")
    zone.advance(30.0)


def sponsor_dies(zone: Zone) -> None:
    """The only listed member dies, and a listed newcomer starts.

    An unlisted node that the dead member sponsored is still running.
    """
    zone.publish("a")
    start(zone, "a")
    zone.start("d")
    zone.advance(2.0)
    zone.list_cut["d"] = True
    zone.crash("a")
    zone.publish("a", "b")
    zone.start("b")
    zone.advance(40.0)


def release_under_way(zone: Zone) -> None:
    """A newcomer takes over while a release of the former owner is in transit."""
    zone.publish("a", "b")
    start(zone, "a", "b")
    zone.publish("a", "b", "c", "d")
    zone.start("c")
    zone.start("d")
    zone.advance(5.0)


def decided_before_freeze(zone: Zone) -> None:
    """An owner wakes and sends releases that it decided on before it was frozen.

    Another node was frozen too. It read the last messages of the owner late and so
    heard from it more recently than the owner decided.
    """
    zone.publish("a", "b", "c")
    start(zone, "a", "b", "c")
    zone.freeze("b")
    zone.advance(0.5)
    zone.freeze("a")
    zone.advance(2.0)
    zone.wake("b")
    zone.advance(11.0)
    zone.wake("a")
    zone.check()


def start(zone: Zone, *hosts: str) -> None:
    for host in hosts:
        zone.start(host)
    zone.advance(24.0)


TRACES = (
    (newcomer_while_owner_pauses, faulty_factory(WithoutAcks)),
    (owner_wakes_late, faulty_factory(WithoutPauseCheck)),
    (newcomers_never_listed, faulty_factory(WithoutListing)),
    (list_swaps_hosts, faulty_factory(WithoutWaitAlone)),
    (sponsor_dies, faulty_factory(WithoutRenewalAfterLostSponsor)),
    (release_under_way, faulty_factory(WithoutFence)),
    (decided_before_freeze, faulty_factory(WithoutHeartbeatAge)),
    (list_swaps_hosts, ListReader),
)


class RuleTest(testtools.TestCase):
    def test_never_two_owners(self):
        search(acknowledged, EXAMPLES)

    def test_search_finds_fault_of_list_alone(self):
        self.assertRaises(AssertionError, search, ListReader, SEARCH_EXAMPLES)

    def test_traces_fail_with_planted_faults_only(self):
        for trace, faulty in TRACES:
            sound = Zone(loss=0.0)
            trace(sound)
            self.assertEqual([], sound.violations, trace.__name__)
            zone = Zone(faulty, loss=0.0)
            trace(zone)
            self.assertNotEqual([], zone.violations, trace.__name__)


class IncarnationTest(testtools.TestCase):
    def test_lower_incarnation_is_not_acknowledged_until_renewed(self):
        timers = VirtualTimers()
        older, newer = (
            acknowledged(timers, Owner(HOSTS[0], Incarnation(number), "a:1"))
            for number in (5, 10)
        )
        peer = acknowledged(timers, Owner(HOSTS[1], Incarnation(1), "b:1"))
        for node in (newer, older):
            node.receive_list([(HOSTS[0], "a:1"), (HOSTS[1], "b:1")])
        self.assertIsNotNone(peer.receive_ask(newer.tick()[0][1]))
        self.assertIsNone(peer.receive_ask(older.tick()[0][1]))
        older.renew(Incarnation(10))
        self.assertGreater(older.own.incarnation, 10)
        timers.advance(2.0)
        self.assertIsNotNone(peer.receive_ask(older.tick()[0][1]))


class TakeoverTest(testtools.TestCase):
    def test_rank_passes_to_survivors_within_bound(self):
        zone = Zone()
        zone.publish("a", "b", "c")
        start(zone, "a", "b", "c")
        zone.crash("a")
        zone.advance(TAKEOVER_SECONDS)
        for resource in RESOURCES:
            self.assertEqual(1, len(zone.owners(resource)))

    def test_replaced_zone_owns_again_once_listed(self):
        zone = Zone()
        zone.publish("a", "b")
        start(zone, "a", "b")
        zone.crash("a")
        zone.crash("b")
        zone.publish("a", "b", "c", "d")
        start(zone, "c", "d")
        zone.advance(2.0)
        self.assertEqual({"c", "d"}, zone.active())

    def test_unlisted_lone_node_owns_nothing(self):
        zone = Zone()
        zone.publish()
        start(zone, "a")
        self.assertEqual(set(), zone.active())

    def test_newcomer_is_active_at_once_with_sponsor(self):
        zone = Zone()
        zone.publish("a", "b")
        start(zone, "a", "b")
        zone.start("c")
        zone.advance(4.0)
        self.assertEqual({"a", "b", "c"}, zone.active())

    def test_leaving_node_hands_over_before_silence(self):
        zone = Zone()
        zone.publish("a", "b")
        start(zone, "a", "b")
        zone.stop("a")
        zone.advance(4.0)
        for resource in RESOURCES:
            self.assertEqual({"b"}, zone.owners(resource))
