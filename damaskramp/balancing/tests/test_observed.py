from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from numpy.random import default_rng

from damaskramp.admission import Load
from damaskramp.balancing import Attempt, AttemptResult, ObservedBalancer
from damaskramp.config import BalancingSettings
from damaskramp.core import HostId, Incarnation, ServiceName, VirtualTimers, ZoneName
from damaskramp.membership import Member, MemberState
from damaskramp.testing import LoopTestCase

NEAR = ZoneName("z1")
FAR = ZoneName("z2")


def member(host, zone=NEAR, incarnation=1, state=MemberState.LIVE):
    return Member(
        HostId(host),
        zone,
        "127.0.0.1:1",
        ServiceName("desk"),
        state,
        Incarnation(incarnation),
    )


def members(near, far=0):
    return [member(f"n{i}") for i in range(near)] + [
        member(f"f{i}", FAR) for i in range(far)
    ]


class TestObservedBalancer(LoopTestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers(start=1000.0)
        self.events = Counter()
        self.balancer = self.build()

    def build(self, own="me", **options):
        return ObservedBalancer(
            BalancingSettings(**options),
            self.timers,
            HostId(own),
            NEAR,
            lambda name: self.events.update([name]),
        )

    def call(self, table, outcome=lambda host: AttemptResult.ANSWERED, **options):
        """Make one call that ends at once; return its host, or None."""
        chosen = self.balancer.choose(table, ())
        if chosen is None:
            return None
        self.balancer.started(chosen.host)
        load = options.get("load", lambda host: None)(chosen.host)
        seconds = options.get("seconds", lambda host: 0.01)(chosen.host)
        result = outcome(chosen.host)
        self.balancer.finished(Attempt(chosen.host, result, seconds, load))
        self.timers.advance(options.get("step", 0.01))
        return chosen.host

    def call_counts(self, count, table, *args, **options):
        return Counter(self.call(table, *args, **options) for _ in range(count))

    def test_own_zone_first(self):
        call_counts = self.call_counts(200, members(2, 2))
        # Each host of the other zone gets one call that measures its latency.
        self.assertGreaterEqual(call_counts["n0"] + call_counts["n1"], 198)

    def test_spills_to_other_zones_when_own_is_saturated(self):
        full = Load(in_flight=8, limit=8)
        table = members(2, 2)
        load = {"n0": full, "n1": full}
        call_counts = self.call_counts(200, table, load=load.get)
        self.assertGreater(call_counts["f0"] + call_counts["f1"], 150)

    def test_report_of_saturation_ages_out(self):
        """Guards against a host that stays unused after one report of saturation."""
        table = members(1, 1)
        self.call(table, load=lambda host: Load(in_flight=8, limit=8))
        self.assertEqual("f0", self.call(table))
        self.timers.advance(BalancingSettings().load_seconds)
        self.assertEqual("n0", self.call(table))

    def test_spills_when_own_zone_has_no_members(self):
        self.assertEqual({"f0"}, set(self.call_counts(5, members(0, 1))))

    def test_slow_host_gets_fewer_calls(self):
        slow = {"n0": 0.05}
        call_counts = self.call_counts(
            600, members(3), seconds=lambda h: slow.get(h, 0.01)
        )
        self.assertLess(call_counts["n0"], 600 / 3 / 5)
        self.assertGreater(call_counts["n0"], 0)

    def test_slow_own_zone_spills_to_a_much_faster_zone(self):
        slow = {"n0": 0.05}
        call_counts = self.call_counts(
            200, members(1, 2), seconds=lambda h: slow.get(h, 0.01)
        )
        self.assertLess(call_counts["n0"], 100)

    def test_failing_host_is_ejected_and_gets_single_trial_calls(self):
        def outcome(host):
            failed = host == "n0"
            return AttemptResult.FAILED if failed else AttemptResult.ANSWERED

        self.call_counts(100, members(3), outcome)
        self.assertEqual({"n0"}, self.balancer.ejected)
        # 20 s of trial calls with a doubling delay: at most 5 calls.
        call_counts = self.call_counts(2000, members(3), outcome)
        self.assertLessEqual(call_counts["n0"], 5)
        self.assertGreaterEqual(call_counts["n0"], 1)

    def test_one_trial_call_at_a_time(self):
        self.eject("n0")
        self.timers.advance(60.0)
        first = self.balancer.choose(members(3), ())
        self.assertEqual("n0", first.host)
        self.balancer.started(first.host)
        others = {self.balancer.choose(members(3), ()).host for _ in range(50)}
        self.assertNotIn("n0", others)

    def test_cancelled_trial_call_is_followed_by_another(self):
        """Guards against an endless ejection because a trial call was cancelled."""
        self.eject("n0")
        self.timers.advance(60.0)
        for _ in range(2):
            chosen = self.call(members(3), lambda host: AttemptResult.CANCELLED)
            self.assertEqual("n0", chosen)

    def eject(self, host):
        def outcome(chosen):
            failed = chosen == host
            return AttemptResult.FAILED if failed else AttemptResult.ANSWERED

        while host not in self.balancer.ejected:
            self.call(members(3), outcome)

    def test_reinstated_host_ramps_up(self):
        self.eject("n0")
        self.timers.advance(60.0)
        self.assertEqual("n0", self.call(members(3)))
        self.assertEqual(frozenset(), self.balancer.ejected)
        early = self.call_counts(100, members(3), step=0.01)["n0"]
        self.timers.advance(BalancingSettings().ramp_seconds)
        late = self.call_counts(100, members(3), step=0.01)["n0"]
        self.assertLess(early, 20)
        self.assertGreater(late, 20)

    def test_failures_on_all_hosts_eject_none(self):
        """Guards against ejections when a shared dependency fails."""
        self.call_counts(300, members(3), lambda host: AttemptResult.FAILED)
        self.assertEqual(frozenset(), self.balancer.ejected)

    def test_random_half_failures_on_all_hosts_eject_none(self):
        """Guards against ejections by chance when all hosts fail equally often."""
        random = default_rng(3)
        results = (AttemptResult.FAILED, AttemptResult.ANSWERED)
        for _ in range(2000):
            self.call(members(3), lambda host: results[random.integers(2)])
        self.assertEqual(0, self.events["backend_server_ejected"])

    def test_new_host_starts_with_a_small_share(self):
        """Guards against overload of a cold host by its full share of calls."""
        self.call_counts(10, members(2))
        call_counts = self.call_counts(100, members(3), step=0.001)
        self.assertIn("n2", call_counts)
        self.assertLess(call_counts["n2"], 20)

    def test_new_incarnation_is_cold_and_no_longer_leaving(self):
        table = members(2)
        leaving = {"n0": Load(leaving=True)}
        while not self.balancer.leaving:
            self.call(table, load=leaving.get)
        table[0] = member("n0", incarnation=2)
        call_counts = self.call_counts(100, table, step=0.001)
        self.assertIn("n0", call_counts)
        self.assertLess(call_counts["n0"], 25)

    def test_leaving_host_gets_no_calls_after_its_first_report(self):
        """Guards against calls to a leaving host that is still listed as live."""
        table = members(1, 1)
        self.call(table, load=lambda host: Load(leaving=True))
        seconds = BalancingSettings().leaving_seconds
        call_counts = self.call_counts(90, table, step=seconds / 100)
        self.assertEqual({"f0"}, set(call_counts))
        self.assertEqual(1, self.events["backend_server_leaving"])

    def test_member_listed_as_leaving_is_never_chosen(self):
        table = [member("n0", state=MemberState.LEAVING)]
        self.assertIsNone(self.call(table))

    def test_only_host_is_not_chosen_while_leaving(self):
        table = members(1)
        self.call(table, load=lambda host: Load(leaving=True))
        self.assertIsNone(self.call(table))

    def test_cancelled_calls_do_not_eject(self):
        self.call_counts(50, members(2), lambda host: AttemptResult.CANCELLED)
        self.assertEqual(frozenset(), self.balancer.ejected)

    def test_number_of_hosts_used_of_a_large_service_is_bounded(self):
        """Guards against a connection from each node to each host of a service."""
        bounds = BalancingSettings()
        used = set()
        table = members(40, 40)
        for _ in range(2000):
            used.add(self.call(table, seconds=lambda h: 0.05 if h[0] == "n" else 0.01))
        self.assertLessEqual(len(used), bounds.near_subset + bounds.far_subset)

    def test_subsets_of_many_nodes_cover_hosts_evenly(self):
        """Guards against hosts that are in the subsets of too many or no nodes."""
        table = members(14)
        picks = Counter()
        for number in range(400):
            balancer = self.build(own=f"node-{number}", near_subset=4)
            picks.update(balancer.choose(table, ()).host for _ in range(10))
        self.assertEqual(14, len(picks))
        self.assertLess(max(picks.values()), 1.5 * 4000 / 14)

    def test_records_of_removed_hosts_are_dropped(self):
        """Guards against a record leak while the members of a service change."""
        for number in range(50):
            self.call([member(f"n{number}"), member(f"n{number + 1}")])
        self.assertLessEqual(len(self.balancer._records), 2)

    def test_same_seed_gives_the_same_choices(self):
        other = self.build()
        table = members(5)
        choices = [self.balancer.choose(table, ()).host for _ in range(20)]
        self.assertEqual(choices, [other.choose(table, ()).host for _ in range(20)])

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.integers(2, 6),
        st.lists(
            st.tuples(st.sampled_from(list(AttemptResult)), st.floats(0.001, 3.0)),
            max_size=120,
        ),
    )
    def test_ejected_share_of_hosts_is_bounded(self, count, attempts):
        """Guards against an outage by ejecting too many hosts, for any results."""
        self.balancer = self.build()
        table = members(count)
        for result, step in attempts:
            chosen = self.call(table, lambda host, result=result: result, step=step)
            self.assertIsNotNone(chosen)
            share = len(self.balancer.ejected) / count
            self.assertLessEqual(share, BalancingSettings().eject_share)
