"""Hosts that are asked in rounds of gossip."""

import random
from unittest import TestCase

from damaskramp.relay.gossip_view import VIEW_HOSTS, GossipView

ROUNDS_PER_LINK = 75
"""Rounds for which a link stays open without calls."""


class TestGossipView(TestCase):
    def test_links_do_not_grow_with_the_fleet(self):
        """Peers drawn from all hosts kept 77 links open at 1,400 hosts."""
        for size in (100, 1400):
            hosts = [f"h{n}" for n in range(size)]
            view = GossipView(random.Random(size))
            asked = [
                view.choose(hosts, (), (), 1)[0] for _ in range(4 * ROUNDS_PER_LINK)
            ]
            most = max(
                len(set(asked[n : n + ROUNDS_PER_LINK]))
                for n in range(3 * ROUNDS_PER_LINK)
            )
            self.assertLessEqual(most, VIEW_HOSTS + 16)

    def test_news_reaches_all_hosts_as_soon_as_with_all_peers(self):
        """It goes both ways, with the ping and with its answer."""
        for seed in range(4):
            hosts = [str(n) for n in range(500)]
            source = random.Random(seed)
            others = [[h for h in hosts if h != own] for own in hosts]
            views = [GossipView(source) for _ in hosts]
            informed, rounds = {"0"}, 0
            while len(informed) < len(hosts):
                rounds += 1
                pairs = [
                    (own, views[n].choose(others[n], (), (), 1)[0])
                    for n, own in enumerate(hosts)
                ]
                news = {host for pair in pairs if informed & set(pair) for host in pair}
                informed |= news
            self.assertLessEqual(rounds, 11)

    def test_lost_hosts_leave_the_view(self):
        """Otherwise rounds are spent on hosts that can't answer."""
        hosts = [f"h{n}" for n in range(200)]
        view = GossipView(random.Random(3))
        asked = {view.choose(hosts, (), (), 1)[0] for _ in range(200)}
        for _ in range(100):
            view.choose(hosts, asked, (), 1)
        wasted = sum(view.choose(hosts, asked, (), 1)[0] in asked for _ in range(200))
        self.assertLess(wasted, 100)

    def test_each_host_is_asked_in_time(self):
        hosts = [f"h{n}" for n in range(100)]
        view = GossipView(random.Random(5))
        asked = {view.choose(hosts, (), (), 1)[0] for _ in range(5000)}
        self.assertEqual(set(hosts), asked)

    def test_excluded_hosts_and_hosts_that_have_left_are_not_chosen(self):
        hosts = [f"h{n}" for n in range(100)]
        view = GossipView(random.Random(7))
        for _ in range(200):
            view.choose(hosts, (), (), 1)
        fewer = hosts[:40]
        for _ in range(200):
            (chosen,) = view.choose(fewer, (), ["h1"], 1)
            self.assertIn(chosen, set(fewer) - {"h1"})
        self.assertEqual([], view.choose([], (), (), 1))
