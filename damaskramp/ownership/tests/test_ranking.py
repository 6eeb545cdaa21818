"""Tests that cached ranks equal those of ranking all members at each query.

A cache that misses an event, a silence or a retirement returns a former owner.
"""

import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from damaskramp.core import HostId, Incarnation, VirtualTimers
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.ownership import AcknowledgedOwnership, Owner, OwnershipSettings
from damaskramp.ownership import ranking as ranking_module
from damaskramp.ownership.contact import NEVER
from damaskramp.ownership.messages import Ack, Ask, KnownHost
from damaskramp.ownership.ranking import Ranking

OWN = Owner(HostId("own"), Incarnation(1), "own:1")
PEERS = tuple(HostId(name) for name in ("a", "b", "c", "d"))
LISTED = [(host, f"{host}:1") for host in (OWN.host, *PEERS)]
RESOURCES = tuple(f"quota/{number}" for number in range(8))
COUNTS = (1, 3, 1 << 20)
SETTINGS = OwnershipSettings(silence_seconds=12.0)
EXAMPLES = 300
hosts = st.sampled_from(PEERS)
incarnations = st.sampled_from([Incarnation(number) for number in (1, 1, 2, 3)])
ages = st.sampled_from((-5.0, 0.0, 0.1, 5.0, 11.9))


class UncachedOwnership(AcknowledgedOwnership):
    """Reference that ranks all members at each query."""

    def successors(self, resource, count):
        self._check_continuity()
        now = self._timers.now
        silence = self._settings.silence_seconds
        eligible = [
            c.as_owner() for c in self._contacts.values() if c.is_eligible(now, silence)
        ]
        if self._active:
            eligible.append(self._own)
        eligible.sort(
            key=lambda o: (rendezvous_score(o.host, resource), o.host), reverse=True
        )
        return tuple(eligible[:count])


class WithoutInvalidation(Ranking):
    """Fault: events do not invalidate the cache."""

    def invalidate(self):
        pass


class WithoutSilence(Ranking):
    """Fault: the cache stays valid when a member falls silent."""

    def is_valid(self, now):
        return self._oldest_last_heard > NEVER and now < self._first_retirement


class WithoutRetirement(Ranking):
    """Fault: the cache stays valid when a leaving member retires."""

    def is_valid(self, now):
        return now - self._oldest_last_heard < self._silence


class RankingMachine(RuleBasedStateMachine):
    """The same history applied to a node with cached ranks and one without."""

    ranking: type[Ranking] = Ranking

    @initialize(acknowledged=st.sets(hosts))
    def begin(self, acknowledged):
        self.timers = VirtualTimers()
        self.cached = AcknowledgedOwnership(SETTINGS, self.timers, OWN)
        self.cached._ranking = type(self).ranking(SETTINGS)
        self.nodes = (self.cached, UncachedOwnership(SETTINGS, self.timers, OWN))
        for _ in range(13):
            self.timers.advance(1.0)
            self.apply_event(lambda node: node.receive_list(LISTED))
        for host in sorted(acknowledged):
            self.ask(host, Incarnation(1), f"{host}:1")

    def apply_event(self, event):
        first, second = [event(node) for node in self.nodes]
        assert first == second

    @rule(
        seconds=st.sampled_from((0.1, 1.0, 2.9, 3.0)),
        steps=st.integers(1, 5),
        reads=st.booleans(),
    )
    def advance(self, seconds, steps, reads):
        for _ in range(steps):
            self.timers.advance(seconds)
            if reads:
                self.read_list(True)
            self.apply_event(lambda node: node.tick())
            self.agree()

    @rule()
    def pause(self):
        self.timers.advance(5.0)

    @rule(listed=st.booleans())
    def read_list(self, listed):
        self.apply_event(
            lambda node: node.receive_list(LISTED if listed else LISTED[1:])
        )

    @rule(host=hosts, incarnation=incarnations, peer=st.sampled_from(("x:1", "x:2")))
    def ask(self, host, incarnation, peer):
        ask = Ask(host, incarnation, peer, 0, self.timers.now)
        self.apply_event(lambda node: node.receive_ask(ask))

    @rule(host=hosts, incarnation=incarnations, age=ages, seen=hosts, seen_age=ages)
    def answer(self, host, incarnation, age, seen, seen_age):
        """Apply an answer, in some cases from a peer whose clock is wrong."""
        now = self.timers.now
        view = (KnownHost(seen, f"{seen}:1", seen_age),)
        self.apply_event(
            lambda node: node.receive_ack(
                Ack(
                    host,
                    incarnation,
                    f"{host}:1",
                    True,
                    True,
                    node.own.incarnation,
                    now - age,
                    view,
                )
            )
        )

    @rule(host=hosts, incarnation=incarnations)
    def sign_of_life(self, host, incarnation):
        self.apply_event(lambda node: node.receive_heartbeat(host, incarnation))

    @rule(host=hosts, incarnation=incarnations)
    def peer_leaves(self, host, incarnation):
        self.apply_event(lambda node: node.receive_leave(host, incarnation))

    @rule(above=st.integers(0, 3))
    def renew(self, above):
        self.apply_event(lambda node: node.renew(node.own.incarnation + above))

    @rule(chance=st.integers(0, 9))
    def leave(self, chance):
        if chance == 0:
            self.apply_event(lambda node: node.leave())

    @invariant()
    def agree(self):
        if not hasattr(self, "nodes"):
            return
        for resource in RESOURCES:
            self.agree_on(resource)

    def agree_on(self, resource):
        self.apply_event(lambda node: node.owns(resource))
        for count in COUNTS:
            self.apply_event(lambda node, count=count: node.successors(resource, count))
        for owner in self.nodes[1].successors(resource, 2):
            self.apply_event(
                lambda node, owner=owner: node.may_release(resource, owner)
            )


def search(ranking: type[Ranking]) -> None:
    machine = type("Machine", (RankingMachine,), {"ranking": ranking})
    checks = settings(
        derandomize=True,
        deadline=None,
        max_examples=EXAMPLES,
        phases=(Phase.generate,),
        stateful_step_count=30,
        suppress_health_check=list(HealthCheck),
        database=None,
        print_blob=False,
    )
    run_state_machine_as_test(machine, settings=checks)


class RankingCacheTest(testtools.TestCase):
    def test_cached_ranks_equal_uncached_ranks(self):
        search(Ranking)

    def test_search_finds_each_missing_cache_check(self):
        for faulty in (WithoutInvalidation, WithoutSilence, WithoutRetirement):
            self.assertRaises(AssertionError, search, faulty)

    def test_number_of_cached_ranks_is_bounded(self):
        ranking = Ranking(SETTINGS)
        ranking.refresh((), OWN, 0.0)
        self.patch(ranking_module, "MAX_RANKED_RESOURCES", 16)
        for number in range(50):
            self.assertEqual((OWN,), ranking.top(f"request/{number}", 1))
        self.assertEqual(16, len(ranking._ranked))
