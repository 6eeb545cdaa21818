"""Rate limit of a team over all hosts, with lost messages, loans and restarts."""

import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.dispatch import SharedRate, SharedRateSettings, TeamRates
from damaskramp.fleet import Team

HOSTS = [(f"h{n}", f"z{n % 3}") for n in range(6)]
TEAM = Team("clubs", frozenset(), None, rate=20.0, burst=20.0)


def fleet(team=TEAM, hosts=HOSTS):
    rates = {
        host: TeamRates(SharedRateSettings(), host, random.Random(host))
        for host, _ in hosts
    }
    for one in rates.values():
        one.update([team], hosts, 0.0)
    return rates


def admitted(rates, team, host, hosts, now, loans=None):
    """Whether a host, which asks at most four lenders, admits a request."""
    rate = rates[host].find(team.name)
    rate.record_request(now)
    if rate.acquire(now):
        return True
    zones = dict(hosts)
    lenders = rates[host].lenders(team.name)
    rest = [other for other in rates[host].share_hosts(team.name) if other != host]
    near = {other for other in rest if zones[other] == zones[host]}
    asked = []
    while rate.level < 1.0 and len(asked) < 4:
        min_permits, max_permits = rate.wanted_loan(1)
        lender = lenders.choose(rest, near, min_permits, max_permits, now)
        if lender is None:
            break
        rest.remove(lender)
        asked.append(lender)
        other = rates[lender].find(team.name)
        given = other.lend(min_permits, max_permits, now)
        lenders.record_answer(lender, min_permits, given, other.level, now)
        rate.credit(given)
    if loans is not None:
        loans += asked
    granted = rate.acquire(now)
    if asked:
        rates[asked[-1]].find(team.name).credit(rate.release_fraction())
    return granted


class TestSharedRate(TestCase):
    @given(st.integers(0, 2**32))
    def test_no_window_admits_more_than_rate_and_burst(self, seed):
        source = random.Random(seed)
        rates = fleet()
        now, admitted = 0.0, []
        for _ in range(600):
            now += source.expovariate(100.0)
            host = source.choice(HOSTS[: source.choice((1, 2, 6))])[0]
            rate = rates[host].find("clubs")
            if not rate.acquire(now):
                lender = source.choice(rates[host].share_hosts("clubs"))
                if lender != host:
                    wanted = rate.wanted_loan(source.randrange(1, 4))
                    given = rates[lender].find("clubs").lend(*wanted, now)
                    # One message in five is lost; permits must never exist twice.
                    if source.random() < 0.8:
                        rate.credit(given)
                    unused = rate.release_fraction()
                    if source.random() < 0.8:
                        rates[lender].find("clubs").credit(unused)
                if not rate.acquire(now):
                    continue
            admitted.append(now)
        for first in range(0, len(admitted), 7):
            window = [at for at in admitted[first:] if at <= admitted[first] + 5.0]
            length = window[-1] - window[0]
            self.assertLessEqual(len(window), 20.0 * length + 20.0 + 1e-6)

    def test_team_inside_its_rate_is_served_from_the_first_second(self):
        for team in (TEAM, Team("few", frozenset(), None, rate=3.0, burst=3.0)):
            with self.subTest(team.name):
                source = random.Random(1)
                rates = fleet(team)
                now, refused, asked = 0.0, 0, 0
                while (now := now + source.expovariate(team.rate / 2)) < 60.0:
                    host = source.choice(HOSTS)[0]
                    asked += 1
                    refused += not admitted(rates, team, host, HOSTS, now)
                self.assertLessEqual(refused, 0.05 * asked)

    def test_team_inside_its_rate_is_served_wherever_its_requests_arrive(self):
        """Hosts that receive most requests run out of permits and must borrow them."""
        for size, rate, name, weights in (
            (12, 100.0, "one host", [10] + [1] * 11),
            (12, 100.0, "one zone", [3, 1, 1] * 4),
            (12, 300.0, "a few hosts", [1, 6, 1, 1, 4, 1, 1, 1, 9, 1, 1, 2]),
            (80, 20.0, "all hosts", [1] * 80),
            (80, 100.0, "one zone", [4, 1, 1, 1] * 20),
            (80, 100.0, "all hosts", [1] * 80),
        ):
            with self.subTest(name, size=size, rate=rate):
                hosts = [(f"h{n}", f"z{n % (3 + size // 80)}") for n in range(size)]
                team = Team("clubs", frozenset(), None, rate, rate)
                rates = fleet(team, hosts)
                source = random.Random(2)
                now, refused, asked = 0.0, 0, 0
                while (now := now + source.expovariate(0.95 * team.rate)) < 20.0:
                    (host, _), *_ = source.choices(hosts, weights)
                    asked += 1
                    refused += not admitted(rates, team, host, hosts, now)
                self.assertLessEqual(refused, 0.02 * asked)

    def test_team_far_above_its_rate_costs_few_messages(self):
        """Hosts without permits would otherwise ask lenders for each request."""
        hosts = [(f"h{n}", f"z{n % 3}") for n in range(12)]
        team = Team("clubs", frozenset(), None, rate=100.0, burst=100.0)
        rates = fleet(team, hosts)
        source, now, loans = random.Random(2), 0.0, []
        while (now := now + source.expovariate(10 * team.rate)) < 10.0:
            admitted(rates, team, source.choice(hosts)[0], hosts, now, loans)
        # A host asks each lender without permits at most once in the maximum backoff,
        # which is a second, and gets each permit in parts from at most four lenders.
        pairs = len(hosts) * (len(hosts) - 1)
        bound = 10.0 * (pairs + 4 * team.rate) + 4 * team.burst
        self.assertLessEqual(len(loans), bound)

    def test_restart_does_not_refill_the_whole_burst(self):
        """Frequent restarts would otherwise admit a burst each."""
        rates = TeamRates(
            SharedRateSettings(initial_seconds=1.0), "h0", random.Random(0)
        )
        team = Team("clubs", frozenset(), None, rate=12.0, burst=120.0)
        rates.update([team], HOSTS, 0.0)
        self.assertLessEqual(rates.find("clubs").level, 12.0 / 6)

    def test_saved_permits_expire_soon_after_the_burst_is_lowered(self):
        settings = SharedRateSettings(old_burst_seconds=1.5)
        lower = Team("clubs", frozenset(), None, rate=6.0, burst=6.0)
        share_host = fleet()["h0"].share_hosts("clubs")[0]
        for used_after, admitted in ((1.0, 6), (1.6, 2)):
            with self.subTest(used_after):
                rates = TeamRates(settings, share_host, random.Random(0))
                rates.update([TEAM], HOSTS, 0.0)
                rates.update([lower], HOSTS, 10.0)
                rate = rates.find("clubs")
                now = 10.0 + used_after
                self.assertEqual(admitted, sum(rate.acquire(now) for _ in range(9)))

    @given(st.integers(0, 2**32))
    def test_lower_limit_binds_soon_after_it_is_known(self, seed):
        source = random.Random(seed)
        lower = Team("clubs", frozenset(), None, rate=4.0, burst=4.0)
        rates = fleet()
        known_at = 10.0
        binds_at = known_at + SharedRateSettings().old_burst_seconds
        now, admitted = 0.0, []
        for host, _ in HOSTS:
            # Each host receives the lower limit twice, each time after the higher one
            # with a shorter list of hosts.
            for _ in range(2):
                rates[host].update([TEAM], HOSTS[:5], known_at)
                rates[host].update([lower], HOSTS, known_at)
        now = known_at
        while (now := now + source.expovariate(30.0)) < 20.0:
            host = source.choice(HOSTS)[0]
            if rates[host].find("clubs").acquire(now):
                admitted.append(now)
        after = [at for at in admitted if binds_at <= at <= binds_at + 5.0]
        # A share of the burst below one permit is rounded up to one on each host.
        self.assertLessEqual(len(after), 4.0 * 5.0 + max(4.0, len(HOSTS)))

    def test_small_teams_have_one_share_host_in_each_zone(self):
        few = Team("few", frozenset(), None, rate=1.0, burst=1.0)
        share_hosts = fleet(few)["h0"].share_hosts("few")
        self.assertEqual(
            {"z0", "z1", "z2"}, {dict(HOSTS)[host] for host in share_hosts}
        )
        self.assertEqual(3, len(share_hosts))


class TestRefundedPermits(TestCase):
    """Permits of requests that are admitted and then refused before they run."""

    STEP = st.tuples(
        st.floats(0.0, 0.3),
        st.integers(1, 30),
        st.floats(0.0, 0.4),
        st.booleans(),
    )

    @given(st.lists(STEP, max_size=60))
    def test_no_window_holds_more_runs_than_allowed(self, steps):
        settings = SharedRateSettings()
        rate = SharedRate(settings, TEAM, 1.0, 0.0)
        now, runs, pending_refunds = 0.0, [], []
        for pause, requests, held, refused in steps:
            now += pause
            for at, taken in [pair for pair in pending_refunds if pair[0] <= now]:
                rate.refund(taken, at)
            pending_refunds = [pair for pair in pending_refunds if pair[0] > now]
            for _ in range(requests):
                if not rate.acquire(now):
                    break
                if refused:
                    pending_refunds.append((now + held, now))
                else:
                    runs.append(now)
        for end in runs:
            window = sum(end - 5.0 < at <= end for at in runs)
            allowed = 5.0 * TEAM.rate + TEAM.burst
            allowed += settings.refund_seconds * TEAM.rate
            self.assertLessEqual(window, allowed + 1.0)

    def test_permit_of_a_request_refused_before_it_ran_is_refunded(self):
        rate = SharedRate(SharedRateSettings(), TEAM, 1.0, 0.0)
        for _ in range(100):
            self.assertTrue(rate.acquire(0.0))
            rate.refund(0.0, 0.01)

    def test_permit_is_not_refunded_after_the_refund_time(self):
        rate = SharedRate(SharedRateSettings(), TEAM, 1.0, 0.0)
        while rate.acquire(0.0):
            pass
        rate.refund(0.0, 0.26)
        self.assertLess(rate.level, 1.0)
