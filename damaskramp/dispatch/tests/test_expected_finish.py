"""Choice of servers by the expected finish of a kind of request."""

import random
from collections import Counter
from dataclasses import replace
from unittest import mock

from testtools import TestCase

from benchmarks.placement_settings import ModelSettings
from benchmarks.server_pace import make_model
from damaskramp.dispatch import KnownLoad, Load, SelectionSettings, ServerSelector
from damaskramp.dispatch.expected_finish import FinishSelection
from damaskramp.fleet import BackendServer

IDLE = Load(0, 0, 8, 0.1, pace=1.0, run_time=0.1)


def server(number, zone="z1"):
    return BackendServer(
        f"i-{number}", "s", f"10.0.0.{number}:80", zone, 8, False, 0.0, 0, 1
    )


class TestChoice(TestCase):
    def setUp(self):
        super().setUp()
        self.distances = {"z2": 0.0028, "z3": 0.0108}
        self.selector = self.make_selector(1)

    def make_selector(self, seed):
        return ServerSelector(
            SelectionSettings(),
            "z1",
            random.Random(seed),
            round_trip=lambda zone: self.distances.get(zone, 0.0),
        )

    def report(self, one, now=10.0, kind="list", rank=2, **fields):
        self.selector.record_load(one, IDLE._replace(**fields), now, rank, kind)

    def choose(self, servers, now=10.0, kind="list", rank=2, count=200, to_target=0.0):
        chosen = Counter()
        for _ in range(count):
            found = self.selector.choose(
                servers, (), rank, now, kind=kind, to_target=to_target
            )
            chosen[found.id] += 1
        return chosen

    def test_server_that_has_become_slow_is_avoided_at_once(self):
        first, second = server(1), server(2)
        self.report(first, pace=2.5)
        self.report(second)
        self.assertEqual({"i-2": 200}, self.choose([first, second]))
        self.report(first, now=10.1, pace=1.0)
        self.report(second, now=10.1, pace=2.5)
        self.assertEqual({"i-1": 200}, self.choose([first, second], now=10.1))

    def test_long_runs_of_one_kind_do_not_make_a_server_slow_for_another(self):
        first, second = server(1), server(2)
        self.report(first, service_time=0.5, run_time=0.5)
        self.report(first, service_time=0.5, run_time=0.01, kind="lookup")
        self.report(second, service_time=0.02, run_time=0.02, kind="lookup")
        self.assertEqual({"i-1": 200}, self.choose([first, second], kind="lookup"))

    def test_speed_at_an_unknown_kind_is_that_at_the_known_ones(self):
        fast, slow = server(1), server(2)
        for _ in range(20):
            self.report(fast, run_time=0.05)
            self.report(slow, run_time=0.15)
        self.report(server(3), run_time=0.02, kind="lookup")
        chosen = self.choose([fast, slow], kind="lookup")
        self.assertEqual({"i-1": 200}, chosen)

    def test_queue_of_the_own_rank_counts(self):
        first, second = server(1), server(2)
        full = {"running": 8, "waiting": 4}
        for rank, wait in ((0, 0.01), (3, 2.0)):
            self.report(first, rank=rank, queue_wait=wait, **full)
            self.report(second, rank=rank, queue_wait=0.2, **full)
        self.assertEqual({"i-1": 200}, self.choose([first, second], rank=0))
        self.assertEqual({"i-2": 200}, self.choose([first, second], rank=3))

    def test_request_leaves_its_zone_only_for_a_gain(self):
        near, far = server(1), server(2, "z2")
        self.report(near, run_time=0.1)
        self.report(far, run_time=0.09)
        self.assertEqual({"i-1": 200}, self.choose([near, far]))
        self.report(near, now=10.1, run_time=0.1, pace=2.5)
        self.assertEqual({"i-2": 200}, self.choose([near, far], now=10.1))

    def test_distant_zone_must_save_the_way(self):
        near, far = server(1), server(2, "z3")
        self.report(near, run_time=0.012, kind="lookup")
        self.report(far, run_time=0.006, kind="lookup")
        self.assertEqual({"i-1": 200}, self.choose([near, far], kind="lookup"))
        self.distances["z3"] = 0.0004
        self.assertEqual({"i-2": 200}, self.choose([near, far], kind="lookup"))

    def test_short_call_far_from_its_target_stays_in_its_zone(self):
        """A gain that no caller notices must not cost bytes between zones."""
        near, far = server(1), server(2, "z2")
        self.report(near, run_time=0.015, pace=2.0)
        self.report(far, run_time=0.015)
        self.assertEqual({"i-2": 200}, self.choose([near, far]))
        self.assertEqual({"i-1": 200}, self.choose([near, far], to_target=0.8))
        self.report(near, now=10.1, run_time=0.5, pace=2.0)
        self.report(far, now=10.1, run_time=0.5)
        found = self.choose([near, far], now=10.1, to_target=0.8)
        self.assertEqual({"i-2": 200}, found)

    def test_what_another_host_tells_counts_if_it_is_newer(self):
        first, second = server(1), server(2)
        self.report(first)
        self.report(second)
        told = KnownLoad(first.id, 0, 8, 2.5, 9.9)
        self.selector.record_told_load(first, told)
        self.assertEqual(2, len(self.choose([first, second])))
        self.selector.record_told_load(first, told._replace(stated_at=10.1))
        self.assertEqual({"i-2": 200}, self.choose([first, second], now=10.1))

    def test_recovered_server_is_not_chosen_by_all_hosts_at_once(self):
        """Hosts learn of the recovery together; only some of them may follow."""
        servers = [server(n) for n in range(12)]
        chosen = Counter()
        for seed in range(200):
            self.selector = self.make_selector(seed)
            for one in servers[1:]:
                self.report(one, pace=2.0, running=7)
            self.report(servers[0], pace=1.0)
            chosen += self.choose(servers, count=1)
        self.assertGreater(chosen["i-0"], 200 / 12)
        self.assertLess(chosen["i-0"], 200 * 0.4)

    def test_request_that_was_refused_is_sent_to_the_best_of_all_servers(self):
        """It has few attempts left, so a sample of servers is not enough."""
        servers = [server(n) for n in range(12)]
        for one in servers[1:]:
            self.report(one, pace=2.0, running=7)
        self.report(servers[0])
        for _ in range(50):
            found = self.selector.choose(servers, ("i-99",), 2, 10.0, kind="list")
            self.assertEqual("i-0", found.id)

    def test_servers_that_state_no_pace_are_chosen_as_before(self):
        servers = [server(1), server(2), server(3, "z2")]
        for one in servers:
            self.report(one, pace=0.0, run_time=0.0)
        with mock.patch.object(FinishSelection, "choose") as choose:
            self.choose(servers)
        choose.assert_not_called()

    def test_pace_that_is_a_second_old_counts_no_more(self):
        servers = [server(1), server(2)]
        self.report(servers[0], pace=2.5)
        with mock.patch.object(FinishSelection, "choose") as choose:
            self.choose(servers, now=11.1)
        choose.assert_not_called()


class TestModel(TestCase):
    """Fifteen servers of threefold differing speed, with noisy neighbours and waves."""

    def test_stated_pace_shortens_answers_and_keeps_requests_in_their_zone(self):
        settings = ModelSettings(load=0.6)
        informed = make_model(settings, seed=5).play(4.0)
        before = make_model(replace(settings, states_pace=False), seed=5).play(4.0)
        self.assertLess(informed.time("lookup", 99), before.time("lookup", 99))
        self.assertLess(informed.mean_time("lookup"), before.mean_time("lookup"))
        self.assertLess(informed.left_zone, before.left_zone)
        self.assertGreaterEqual(informed.goodput("lookup"), before.goodput("lookup"))
