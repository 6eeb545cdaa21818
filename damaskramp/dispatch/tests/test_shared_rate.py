"""A team's rate over all hosts, whatever is lost, cut or restarted."""

import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.dispatch import SharedRateSettings, TeamRates
from damaskramp.fleet import Team

HOSTS = [(f"h{n}", f"z{n % 3}") for n in range(6)]
TEAM = Team("clubs", frozenset(), None, rate=20.0, burst=20.0)


def fleet(team=TEAM):
    rates = {host: TeamRates(SharedRateSettings(), host) for host, _ in HOSTS}
    for one in rates.values():
        one.update([team], HOSTS, 0.0)
    return rates


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
            if not rate.take(now):
                lender = source.choice(rates[host].keepers("clubs"))
                if lender != host:
                    given_away = rates[lender].find("clubs").lend(rate.loan, now)
                    # Messages are lost at times; permits never double.
                    if source.random() < 0.8:
                        rate.credit(given_away)
                if not rate.take(now):
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
                    rate = rates[host].find(team.name)
                    asked += 1
                    lenders = [k for k in rates[host].keepers(team.name) if k != host]
                    for lender in lenders[:3]:
                        if rate.level >= 1.0 or rate.take(now):
                            break
                        rate.credit(rates[lender].find(team.name).lend(rate.loan, now))
                    else:
                        refused += not rate.take(now)
                self.assertLessEqual(refused, 0.05 * asked)

    def test_restart_does_not_mint_the_whole_burst(self):
        rates = TeamRates(SharedRateSettings(start_seconds=1.0), "h0")
        team = Team("clubs", frozenset(), None, rate=12.0, burst=120.0)
        rates.update([team], HOSTS, 0.0)
        self.assertLessEqual(rates.find("clubs").level, 12.0 / 6)

    def test_saved_permits_outlive_a_lower_limit_for_a_short_time(self):
        settings = SharedRateSettings(saved_seconds=1.5)
        lower = Team("clubs", frozenset(), None, rate=6.0, burst=6.0)
        keeper = fleet()["h0"].keepers("clubs")[0]
        for used_after, admitted in ((1.0, 6), (1.6, 2)):
            with self.subTest(used_after):
                rates = TeamRates(settings, keeper)
                rates.update([TEAM], HOSTS, 0.0)
                rates.update([lower], HOSTS, 10.0)
                rate = rates.find("clubs")
                now = 10.0 + used_after
                self.assertEqual(admitted, sum(rate.take(now) for _ in range(9)))

    @given(st.integers(0, 2**32))
    def test_lower_limit_binds_soon_after_it_is_known(self, seed):
        source = random.Random(seed)
        lower = Team("clubs", frozenset(), None, rate=4.0, burst=4.0)
        rates = fleet()
        known_at = 10.0
        binds_at = known_at + SharedRateSettings().saved_seconds
        now, admitted = 0.0, []
        for host, _ in HOSTS:
            # Each host learns of it twice, and once by a change of the list.
            for _ in range(2):
                rates[host].update([TEAM], HOSTS[:5], known_at)
                rates[host].update([lower], HOSTS, known_at)
        now = known_at
        while (now := now + source.expovariate(30.0)) < 20.0:
            host = source.choice(HOSTS)[0]
            if rates[host].find("clubs").take(now):
                admitted.append(now)
        after = [at for at in admitted if binds_at <= at <= binds_at + 5.0]
        # A part of the burst under one whole permit is rounded up on each host.
        self.assertLessEqual(len(after), 4.0 * 5.0 + max(4.0, len(HOSTS)))

    def test_small_teams_have_few_keepers_in_each_zone(self):
        few = Team("few", frozenset(), None, rate=1.0, burst=1.0)
        keepers = fleet(few)["h0"].keepers("few")
        self.assertEqual({"z0", "z1", "z2"}, {dict(HOSTS)[host] for host in keepers})
        self.assertEqual(3, len(keepers))
