"""Share hosts of teams while hosts join and leave."""

import random
from unittest import TestCase
from unittest.mock import patch

from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.dispatch import share_hosts as module
from damaskramp.dispatch.share_hosts import ShareHosts
from damaskramp.fleet import Team


def expected(team, hosts, min_burst_per_host):
    """Compute the share hosts from nothing, as a host that has just started does."""
    zones = {}
    for host, zone in hosts:
        zones.setdefault(zone, []).append(host)
    wanted = int(max(team.burst, team.rate) / min_burst_per_host)
    count = max(1, wanted // max(1, len(zones)))
    found = []
    for members in zones.values():
        members.sort(key=lambda host: rendezvous_score(host, team.name))
        found += members[-count:]
    return sorted(found)


def team(name, burst):
    return Team(name, frozenset(), None, rate=1.0, burst=burst)


class TestShareHosts(TestCase):
    def test_hosts_agree_whatever_the_order_of_their_changes(self):
        """Hosts with different share hosts would issue permits twice."""
        for seed in range(60):
            source = random.Random(seed)
            names = [(f"h{n}", f"z{n % 4}") for n in range(40)]
            share_hosts = ShareHosts(2.0)
            for _ in range(25):
                hosts = sorted(source.sample(names, source.randrange(1, 41)))
                if source.random() < 0.6:
                    hosts = sorted({*names} - {source.choice(names)})
                share_hosts.update(hosts)
                for n in range(4):
                    # Not every team is asked for after each change.
                    one = team(f"t{n}", source.choice((1.0, 16.0, 24.0, 1000.0)))
                    for _ in range(source.randrange(3)):
                        got = share_hosts.of(one)
                        self.assertEqual(expected(one, hosts, 2.0), got)

    def test_host_that_joins_costs_few_scores(self):
        """While a fleet starts, its list of hosts changes several times a second."""
        hosts = [(f"h{n}", f"z{n % 8}") for n in range(800)]
        share_hosts, one = ShareHosts(2.0), team("clubs", 48.0)
        share_hosts.update(hosts[:-1])
        share_hosts.of(one)
        share_hosts.update(hosts)
        with patch.object(module, "rendezvous_score", wraps=rendezvous_score) as score:
            got = share_hosts.of(one)
        self.assertLessEqual(score.call_count, 4)
        self.assertEqual(expected(one, hosts, 2.0), got)
