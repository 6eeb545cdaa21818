"""Selection of servers, retry budgets, depths of calls, and suspects."""

import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.dispatch import (
    UNKNOWN_RANK,
    CallDepths,
    Death,
    Load,
    RepeatShare,
    RetryBudget,
    RetryBudgetSettings,
    SelectionSettings,
    ServerSelector,
    SpendDecision,
    Suspects,
    SuspectSettings,
)
from damaskramp.dispatch.suspects import MAX_REPORTED_DEATHS
from damaskramp.fleet import BackendServer


def spend(budget, service, now, depth=0):
    """Spend a repeat of unknown rank; return whether the budget allows it."""
    decision = budget.decide(service, now, depth, UNKNOWN_RANK)
    return decision is SpendDecision.ALLOWED


def server(name, zone="a", leaving=False):
    return BackendServer(
        name, "draws", f"10.0.0.{name}:80", zone, 20, leaving, 0.0, 0, 1
    )


def selector(seed=1):
    return ServerSelector(SelectionSettings(), "a", random.Random(seed))


class TestServerSelector(TestCase):
    def test_own_zone_is_preferred_until_its_load_limit(self):
        chooser = selector()
        near, far = server("1"), server("2", "b")
        chosen = []
        for _ in range(20):
            found = chooser.choose([near, far], (), 3, 0.0)
            chooser.record_sent(found)
            chosen.append(found.id)
        self.assertEqual(["1"] * 16, chosen[:16])
        self.assertEqual({"2"}, set(chosen[16:]))

    def test_leaving_and_excluded_servers_get_nothing(self):
        chooser = selector()
        servers = [server("1", leaving=True), server("2"), server("3", "b")]
        self.assertEqual("3", chooser.choose(servers, {"2"}, 0, 0.0).id)
        self.assertIsNone(chooser.choose(servers, {"2", "3"}, 0, 0.0))

    def test_servers_whose_limit_has_room_are_preferred(self):
        chooser = selector()
        limited, far = server("1"), server("2", "b")
        full = Load(1, 0, 19, 0.01, rate_limit=4.0, rate_wait=0.5)
        chooser.record_load(limited, full, 0.0, rank=3)
        self.assertEqual("2", chooser.choose([limited, far], (), 3, 0.0).id)
        self.assertEqual("1", chooser.choose([limited, far], (), 1, 0.0).id)
        self.assertEqual("1", chooser.choose([limited, far], (), 3, 0.6).id)
        self.assertEqual("1", chooser.choose([limited], (), 3, 0.0).id)
        chooser.record_sent(limited, 3)
        self.assertEqual("2", chooser.choose([limited, far], (), 3, 0.6).id)
        chooser.record_load(limited, Load(1, 0, 19, 0.01), 0.0, rank=1)
        self.assertEqual("1", chooser.choose([limited, far], (), 3, 0.0).id)
        self.assertEqual(0.0, chooser.rate_limit_of(limited))

    def test_slow_and_failing_servers_are_avoided_but_never_all(self):
        chooser = selector()
        slow, fast = server("1"), server("2", "b")
        chooser.record_load(slow, Load(1, 0, 19, 0.5), 0.0)
        chooser.record_load(fast, Load(1, 0, 19, 0.05), 0.0)
        self.assertEqual("2", chooser.choose([slow, fast], (), 0, 0.0).id)
        for _ in range(50):
            chooser.record_end(fast, failed=True)
        self.assertEqual("1", chooser.choose([slow, fast], (), 0, 0.0).id)
        for one in (slow, fast):
            chooser.eject(one, 1.0, 0.0)
        self.assertIsNotNone(chooser.choose([slow, fast], (), 0, 0.0))

    def test_tight_requests_leave_the_zone_where_its_servers_are_clearly_slower(self):
        """Requests with a tight target are late at a slow server of their own zone."""
        for own, tight, chosen in (
            (0.09, False, "1"),
            (0.09, True, "3"),
            (0.055, True, "1"),
        ):
            with self.subTest(own=own, tight=tight):
                chooser = selector()
                servers = [server("1"), server("2", "b"), server("3", "c")]
                for one, seconds in zip(servers, (own, 0.045, 0.03), strict=True):
                    chooser.record_load(one, Load(1, 0, 19, seconds), 0.0)
                found = chooser.choose(servers, (), 0, 0.0, tight=tight)
                self.assertEqual(chosen, found.id)

    def test_refusal_excludes_a_server_for_the_same_or_lesser_ranks_only(self):
        """A server that refuses a rank may still have room for more important ones."""
        chooser = selector()
        only = server("1")
        chooser.record_refusal(only, 3, 0.0)
        self.assertIsNone(chooser.choose([only], (), 3, 0.01))
        self.assertEqual(only, chooser.choose([only], (), 0, 0.01))
        self.assertEqual(only, chooser.choose([only], (), 3, 1.0))

    def test_only_a_server_that_fails_alone_is_an_outlier(self):
        """If all servers fail alike, a second attempt would fail too."""
        chooser = selector()
        servers = [server("1"), server("2")]
        for _ in range(20):
            chooser.record_end(servers[0], failed=True)
        self.assertTrue(chooser.is_outlier(servers[0], servers))
        for _ in range(20):
            chooser.record_end(servers[1], failed=True)
        self.assertFalse(chooser.is_outlier(servers[0], servers))


class TestRetryBudget(TestCase):
    def test_fractional_budgets_of_many_hosts_add_up(self):
        """A fleet loses its budget if each host rounds a fraction of a repeat down."""
        hosts, requests = 200, 4
        settings = RetryBudgetSettings(0.2, 10.0, 100.0)
        part = requests * settings.ratio * settings.used_ratio
        part += settings.allowance * settings.used_allowance / hosts
        for seed in range(20):
            source = random.Random(seed)
            spent = 0
            for _ in range(hosts):
                budget = RetryBudget(settings, source.random())
                budget.resize(hosts)
                for n in range(requests):
                    budget.record_request("draws", 0.1 * n)
                spent += sum(spend(budget, "draws", 1.0) for _ in range(9))
            self.assertLess(0.8 * hosts * part, spent)
            self.assertLess(spent, 1.2 * hosts * part)
            bound = settings.ratio * hosts * requests + settings.allowance
            self.assertLess(spent, bound)

    @given(
        st.lists(
            st.tuples(st.floats(0, 0.4), st.booleans(), st.integers(0, 2)),
            max_size=300,
        )
    )
    def test_no_window_holds_more_repeats_than_allowed(self, steps):
        settings = RetryBudgetSettings(0.2, 10.0, 12.0)
        budgets = [RetryBudget(settings) for _ in range(3)]
        for budget in budgets:
            budget.resize(3)
        now, requests, repeats = 0.0, [], []
        for pause, is_repeat, host in steps:
            now += pause
            if not is_repeat:
                budgets[host].record_request("draws", now)
                requests.append(now)
            elif spend(budgets[host], "draws", now):
                repeats.append(now)
        for end in repeats:
            held = sum(end - 10.0 < at <= end for at in repeats)
            first = sum(end - 10.0 < at <= end for at in requests)
            before = sum(end - 20.0 < at <= end - 10.0 for at in requests)
            # Parts of a window are counted whole, so the previous window may reach half
            # a second into the windows on either side of it.
            before += sum(end - 20.5 < at <= end - 20.0 for at in requests)
            before += sum(end - 10.0 < at <= end - 9.5 for at in requests)
            self.assertLessEqual(held, 0.2 * max(first, before) + 12.0)


class TestRepeatedRuns(TestCase):
    """Budgets of a chain of services in which each repeated run repeats its calls."""

    CALLS = {"front": [("middle", 3)], "middle": [("deep", 2)], "deep": []}
    HOSTS = 4

    def simulate(self, seed):
        source = random.Random(seed)
        settings = RetryBudgetSettings(0.2, 10.0, 48.0)
        hosts = range(self.HOSTS)
        budgets = {(s, h): RetryBudget(settings) for s in self.CALLS for h in hosts}
        for budget in budgets.values():
            budget.resize(len(budgets))
        shares = {place: RepeatShare() for place in budgets}
        arrivals = {service: [] for service in self.CALLS}

        def run(service, is_repeat, share, now):
            place = (service, source.choice(hosts))
            shares[place].record_run(share)
            for called, times in self.CALLS[service]:
                for _ in range(times):
                    request(called, place, is_repeat, shares[place].value, now)

        def request(service, place, is_repeat, share, now):
            budgets[place].record_request(service, now, share)
            arrivals[service].append((now, is_repeat))
            run(service, is_repeat, share, now)
            # Three requests in ten fail and are sent to a second server if the budget
            # allows it.
            if source.random() < 0.3 and spend(budgets[place], service, now):
                arrivals[service].append((now, True))
                run(service, True, 1.0, now)

        now = 0.0
        while (now := now + source.expovariate(60.0)) < 30.0:
            request("front", ("front", source.choice(hosts)), False, 0.0, now)
        return arrivals

    def test_calls_of_repeated_runs_stay_within_the_budget_of_each_service(self):
        arrivals = self.simulate(seed=3)
        for service, events in arrivals.items():
            for end in range(10, 30):
                window = [again for at, again in events if end - 10.0 < at <= end]
                requests = len(window) - sum(window)
                with self.subTest(service=service, end=end):
                    self.assertLessEqual(sum(window), 0.2 * requests + 48.0)
        repeats = sum(again for _, again in arrivals["front"])
        self.assertGreaterEqual(repeats, 0.08 * len(arrivals["front"]))


class TestDeepChain(TestCase):
    """Budgets of four levels of services, each on few hosts.

    Requests fail at all levels or mostly at one, and repeats at the upper levels count
    against the budgets of the levels below.
    """

    CALLS = {"front": ("desk", 1), "desk": ("room", 1), "room": ("deep", 4)}
    HOSTS = {"callers": 26, "front": 11, "desk": 5, "room": 5, "deep": 5}
    ALLOWANCE = 15.0

    def simulate(self, seed, fails):
        source = random.Random(seed)
        settings = RetryBudgetSettings(0.2, 10.0, self.ALLOWANCE)
        places = [(s, h) for s, count in self.HOSTS.items() for h in range(count)]
        budgets = {place: RetryBudget(settings, source.random()) for place in places}
        depths = {place: CallDepths() for place in places}
        shares = {place: RepeatShare() for place in places}
        arrivals = {service: [] for service in self.HOSTS}

        def place_of(service):
            return service, source.randrange(self.HOSTS[service])

        def run(service, is_repeat, share, now):
            place = place_of(service)
            shares[place].record_run(share)
            depths[place].record_run(now)
            if source.random() < 0.05:
                # Other clients, too, send requests without a key through this host.
                depths[place].record_call("front", now)
            called, times = self.CALLS.get(service, ("", 0))
            for _ in range(times):
                depths[place].record_call(called, now)
                request(called, place, is_repeat, shares[place].value, now)
            return depths[place].own_depth(now)

        def request(service, place, is_repeat, share, now):
            budgets[place].record_request(service, now, share)
            arrivals[service].append((now, is_repeat))
            depth = run(service, is_repeat, share, now)
            depths[place].record_reported_depth(service, depth, now)
            failed = source.random() < fails(service)
            level = depths[place].depth_of(service)
            if failed and spend(budgets[place], service, now, level):
                arrivals[service].append((now, True))
                run(service, True, 1.0, now)

        for budget in budgets.values():
            budget.resize(len(budgets) - self.HOSTS["callers"])
        now = 0.0
        while (now := now + source.expovariate(28.0)) < 30.0:
            request("front", place_of("callers"), False, 0.0, now)
        return arrivals

    def test_no_level_exceeds_its_budget(self):
        mixes = {
            "all": lambda service: 0.3,
            "all badly": lambda service: 0.6,
            "deep": lambda service: 0.55 if service == "deep" else 0.1,
            "front": lambda service: 0.9 if service == "front" else 0.3,
        }
        for name, fails in mixes.items():
            for seed in (1, 2):
                arrivals = self.simulate(seed, fails)
                for service in ("front", "desk", "room", "deep"):
                    for end in range(10, 31):
                        window = [
                            a for t, a in arrivals[service] if end - 10 < t <= end
                        ]
                        repeats = sum(window)
                        bound = 0.2 * (len(window) - repeats) + self.ALLOWANCE
                        with self.subTest(mix=name, service=service, end=end):
                            self.assertLessEqual(repeats, bound)


class TestSuspects(TestCase):
    def test_second_death_blocks_a_fingerprint_until_the_retention_ends(self):
        """Reports of the same death by several hosts must count once."""
        suspects = Suspects(SuspectSettings(deaths=2, retention=60.0))
        suspects.record_deaths([Death(7, "i-1/0")], 0.0)
        suspects.record_deaths([Death(7, "i-1/0")], 0.1)
        self.assertFalse(suspects.is_blocked(7, 0.2))
        suspects.record_deaths([Death(7, "i-2/0")], 1.0)
        self.assertTrue(suspects.is_blocked(7, 1.1))
        self.assertFalse(suspects.is_blocked(7, 61.5))

    def test_hosts_do_not_remind_each_other_of_a_death_without_end(self):
        """Each forgets it at another moment, and was told of it again by the others."""
        hosts = [Suspects(SuspectSettings()) for _ in range(3)]
        hosts[0].record_deaths([Death(7, "i-1/0"), Death(7, "i-2/0")], 0.0)
        blocked = []
        for step in range(1, 400):
            now = 0.4 * step
            told, asked = hosts[step % 3], hosts[(step + 1) % 3]
            # A report is on its way for a time that the age in it does not include.
            told.record_deaths(asked.recent_deaths(now - 1.0), now)
            # Each host is asked, as the question is what makes it forget.
            count = sum(one.is_blocked(7, now) for one in hosts)
            blocked.append((now, count > 0))
        self.assertTrue(all(is_blocked for now, is_blocked in blocked if now < 59.0))
        self.assertFalse(any(is_blocked for now, is_blocked in blocked if now > 63.0))

    def test_reports_of_many_deaths_are_bounded(self):
        """All requests on the servers of a lost zone are suspects."""
        suspects = Suspects(SuspectSettings())
        suspects.record_deaths([Death(7, "i-1/0"), Death(7, "i-2/0")], 0.0)
        suspects.record_deaths([Death(n, "i-3/0") for n in range(100, 5000)], 1.0)
        reported = suspects.recent_deaths(2.0)
        self.assertEqual(MAX_REPORTED_DEATHS, len(reported))
        self.assertEqual(2, sum(death.fingerprint == 7 for death in reported))
        self.assertEqual([], suspects.recent_deaths(62.0))
        self.assertEqual({}, suspects._deaths)

    def test_answered_requests_are_not_suspects(self):
        """A common request runs on most dying servers without being the cause."""
        suspects = Suspects(SuspectSettings())
        suspects.record_answer(7, 0.0)
        suspects.record_deaths([Death(7, "i-1/0"), Death(7, "i-2/0")], 1.0)
        self.assertFalse(suspects.is_blocked(7, 1.1))
        suspects.record_deaths([Death(8, "i-1/0"), Death(8, "i-2/0")], 1.0)
        suspects.record_answer(8, 2.0)
        self.assertFalse(suspects.is_blocked(8, 2.1))

    def test_memory_of_answers_is_bounded(self):
        suspects = Suspects(SuspectSettings())
        for fingerprint in range(100_000):
            suspects.record_answer(fingerprint, 0.0)
        self.assertLessEqual(len(suspects._answered), 8192)
