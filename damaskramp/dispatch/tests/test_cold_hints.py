"""What entry nodes do with cold servers: choice of servers and time of return.

Without it, each host sends a burst to an idle server that has just been listed and has
nearly all of it refused, and callers return together while the servers are still cold.
"""

import random

from testtools import TestCase

from damaskramp.core import Counters
from damaskramp.dispatch import (
    Attempts,
    CallDepths,
    ColdHints,
    Load,
    PlacementSettings,
    RefusalBudget,
    RetryBudget,
    RetryBudgetSettings,
    SelectionSettings,
    ServerSelector,
    warmup_retry_after,
)
from damaskramp.fleet import BackendServer, Revision, ServerId, ServiceWarmup

RATE = 5.5
WARMUPS = {"svc": ServiceWarmup(RATE, 3.0)}


def server(name, warmup=0.0, started=1):
    return BackendServer(
        id=ServerId(name),
        service="svc",
        address="10.0.0.1:80",
        zone="z",
        slots=20,
        leaving=False,
        warmup=warmup,
        started=started,
        revision=Revision(1),
    )


def selector(seed=1, hosts=1, warmups=WARMUPS):
    source = random.Random(seed)
    hints = ColdHints(lambda one: one.warmup, source)
    hints.configure(warmups)
    hints.resize(hosts)
    return ServerSelector(SelectionSettings(), "z", source, hints)


def cold_load(left=2.0, wait=0.5):
    return Load(1, 0, 19, 0.01, rate_limit=RATE, rate_wait=wait, warmup_left=left)


class TestFirstContact(TestCase):
    def test_hosts_do_not_all_send_to_a_newly_listed_server(self):
        servers = [server("cold", warmup=3.0), server("a"), server("b")]
        first_requests = 0
        for host in range(200):
            chooser = selector(seed=host, hosts=200)
            for busy in servers[1:]:
                chooser.record_load(busy, Load(19, 19, 19, 0.1), 0.0, 1)
            for _ in range(20):
                chosen = chooser.choose(servers, (), 1, 0.0)
                chooser.record_sent(chosen, 1)
                first_requests += chosen.id == "cold"
        self.assertLessEqual(first_requests, 16)

    def test_first_requests_come_at_the_tolerated_rate(self):
        hosts = 200
        cold = server("cold", warmup=30.0)
        hints = [
            ColdHints(lambda one: one.warmup, random.Random(n)) for n in range(hosts)
        ]
        for one in hints:
            one.configure(WARMUPS)
            one.resize(hosts)
        times = sorted(one.wait(cold, 0.0) for one in hints)
        self.assertLessEqual(sum(at < 10.0 for at in times), 1.5 * RATE * 10.0)
        self.assertLessEqual(times[-1], 30.0)

    def test_cold_server_is_used_if_there_is_no_other(self):
        chooser = selector(hosts=200)
        only = server("cold", warmup=3.0)
        self.assertEqual("cold", chooser.choose([only], (), 1, 0.0).id)

    def test_warm_servers_and_other_services_are_not_delayed(self):
        for warmups, warmup in (({}, 3.0), (WARMUPS, 0.0)):
            chooser = selector(hosts=200, warmups=warmups)
            # A busy server without a limit would be chosen rather than wait for "a".
            servers = [server("a", warmup), server("busy")]
            chooser.record_load(servers[1], Load(19, 19, 19, 0.1), 0.0, 1)
            self.assertEqual("a", chooser.choose(servers, (), 1, 0.0).id)
            self.assertEqual(0.0, chooser.warmup_left([server("a", warmup)], 0.0))

    def test_report_of_the_node_replaces_the_entry(self):
        chooser = selector(hosts=200)
        cold = server("cold", warmup=3.0)
        self.assertEqual(3.0, chooser.warmup_left([cold], 0.0))
        chooser.record_load(cold, Load(0, 0, 19, 0.01), 0.0, 1)
        self.assertEqual(0.0, chooser.warmup_left([cold], 0.0))
        chooser.record_load(cold, cold_load(left=2.0), 0.0, 1)
        self.assertEqual(1.5, chooser.warmup_left([cold], 0.5))
        restarted = server("cold", warmup=3.0, started=2)
        self.assertEqual(3.0, chooser.warmup_left([restarted], 0.5))


class TestReports(TestCase):
    def test_burst_goes_elsewhere_after_one_report(self):
        chooser = selector()
        servers = [server("cold"), server("a")]
        chooser.record_load(servers[0], cold_load(), 0.0, 1)
        chosen = []
        for _ in range(20):
            found = chooser.choose(servers, (), 1, 0.1)
            chooser.record_sent(found, 1)
            chosen.append(found.id)
        self.assertEqual({"a"}, set(chosen))

    def test_cold_server_with_room_gets_its_rate(self):
        chooser = selector()
        servers = [server("cold"), server("a")]
        chooser.record_load(servers[0], cold_load(left=9.0, wait=0.0), 0.0, 1)
        sent = 0
        for tick in range(200):
            found = chooser.choose(servers, (), 1, tick / 100)
            if found.id == "cold":
                chooser.record_sent(found, 1)
                chooser.record_end(found, False)
                sent += 1
        self.assertLessEqual(sent, RATE * 2.0 + 1)
        self.assertGreater(sent, 0)

    def test_limit_of_a_cold_server_is_not_handed_to_its_next_node(self):
        # A node would otherwise hold a server that is warm by then to that limit.
        chooser = selector()
        cold = server("cold")
        chooser.record_load(cold, cold_load(), 0.0, 1)
        self.assertEqual(0.0, chooser.rate_limit_of(cold))
        chooser.record_load(cold, Load(1, 0, 19, 0.01, rate_limit=4.0), 0.0, 1)
        self.assertEqual(4.0, chooser.rate_limit_of(cold))


class TestReturn(TestCase):
    def setUp(self):
        super().setUp()
        budget = RetryBudget(RetryBudgetSettings(), 0.5)
        self.attempts = Attempts(budget, CallDepths(), Counters())
        self.attempts.begin(
            "svc", None, 10.0, 0.0, RefusalBudget(PlacementSettings(), 9, False), 0.0
        )

    def refuse(self, *refusals):
        for number, (wait, by_limit, left) in enumerate(refusals):
            self.attempts.record_refusal(wait, False, by_limit, left)
            self.attempts.tried.add(ServerId(f"i-{number}"))

    def retry_after(self, seed=1):
        return self.attempts.retry_after(self.attempts.wait, random.Random(seed))

    def test_returns_are_spread_over_the_rest_of_the_warmup(self):
        self.refuse((0.2, True, 3.0), (0.4, True, 2.0))
        found = sorted(self.retry_after(seed) for seed in range(400))
        self.assertGreaterEqual(found[0], 0.2)
        self.assertLess(found[0], 0.4)
        self.assertGreater(found[-1], 2.0)
        for begin in (0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5):
            within = sum(begin <= seconds < begin + 0.5 for seconds in found)
            self.assertGreater(within, 20)
            self.assertLess(within, 100)

    def test_server_without_room_for_another_reason_decides(self):
        self.refuse((0.2, True, 3.0), (0.3, False, 0.0))
        self.assertEqual(0.0, self.attempts.warmup_left)
        self.assertLessEqual(self.retry_after(), 0.6)

    def test_unreachable_server_beside_a_cold_one_does_not_hurry_the_return(self):
        # It tells no time at which there would be room.
        self.refuse((0.0, False, 0.0), (0.2, True, 3.0))
        self.assertEqual(3.0, self.attempts.warmup_left)
        self.assertGreater(max(self.retry_after(seed) for seed in range(50)), 2.0)

    def test_service_that_is_cold_as_a_whole(self):
        # No server was asked, as all had refused other requests just before.
        self.attempts.record_cold_service(2.0)
        found = [
            self.attempts.retry_after(0.02, random.Random(seed)) for seed in range(200)
        ]
        self.assertGreater(max(found), 2.0)
        self.assertLess(min(found), 0.5)

    def test_no_hint_without_knowledge(self):
        self.assertEqual(0.0, self.retry_after())

    def test_long_warmup_keeps_no_caller_away_for_longer_than_it_waits(self):
        source = random.Random(1)
        self.assertLessEqual(
            max(warmup_retry_after(20.0, 60.0, source) for _ in range(100)), 5.0
        )


class TestOnlyRoom(TestCase):
    """A request waits at the only server that can take it, rather than fail fast there.

    Otherwise a burst at one warm server was refused, as the cold one had no room.
    """

    def has_only_room(self, chooser, *others, excluded=()):
        warm = server("warm")
        return chooser.has_only_room(warm, [warm, *others], excluded, 1, 0.0)

    def test_cold_servers_without_room_do_not_count(self):
        cold, unreported = server("cold", warmup=2.0), server("new", warmup=3.0)
        chooser = selector()
        chooser.record_load(cold, cold_load(), 0.0, 1)
        self.assertTrue(self.has_only_room(chooser, cold, unreported))

    def test_room_at_another_server_counts(self):
        cold, warm = server("cold", warmup=2.0), server("a")
        chooser = selector()
        chooser.record_load(cold, cold_load(wait=0.0), 0.0, 1)
        self.assertFalse(self.has_only_room(chooser, cold))
        self.assertFalse(self.has_only_room(chooser, warm))
        self.assertTrue(self.has_only_room(chooser, warm, excluded={"a"}))

    def test_cold_server_is_not_queued_at(self):
        cold, other = server("cold", warmup=2.0), server("new", warmup=3.0)
        chooser = selector()
        chooser.record_load(cold, cold_load(), 0.0, 1)
        self.assertFalse(chooser.has_only_room(cold, [cold, other], (), 1, 0.0))
        self.assertFalse(chooser.has_only_room(other, [cold, other], (), 1, 0.0))
