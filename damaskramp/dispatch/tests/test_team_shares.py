"""Shares of teams of one rank at a contested server.

A team that sends much more than its share must not take the slots, or the places in the
queue, from the others, and no slot may be idle while a request waits.
"""

import random

from testtools import TestCase

from damaskramp.dispatch import Work
from damaskramp.dispatch.team_shares import TeamWeights
from damaskramp.dispatch.tests.test_slots import Simulation, poisson
from damaskramp.dispatch.weighted_queue import WeightedQueue

SLOTS, SECONDS = 10, 0.1
CAPACITY = 9 / SECONDS
"""Requests a second; one slot is kept free."""

END = 30.0


class _OwnedWork(Work):
    """Request that remembers its team when the queue does not know it."""

    __slots__ = ("owner",)


class TestTeamShares(TestCase):
    def play(self, rates, known=True, weights=None, is_call=False, ranks=None):
        """Return requests that ended in time, a second, by team."""
        source = random.Random(7)
        simulation = Simulation(SLOTS, lambda work: source.uniform(0.08, 0.12))
        simulation.queue.team_weights.update(weights or {})
        for team, rate in rates.items():
            for at in poisson(rate, END, source):
                rank = (ranks or {}).get(team, 2)
                work = _OwnedWork("entry", is_call, rank, at + 0.6, at + 2.5)
                work.team = team if known else ""
                work.owner = team
                simulation.arrive(at, work)
        simulation.run(END + 5.0)
        served = dict.fromkeys(rates, 0)
        for work, ended, good in simulation.ended:
            served[work.owner] += good and ended <= work.target
        return {team: count / END for team, count in served.items()}

    def test_a_flood_of_one_team_leaves_the_others_their_shares(self):
        rates = {"flood": 300.0, "steady": 25.0, "small": 5.0}
        alike = self.play(rates, known=False)
        self.assertLess(alike["steady"], 0.5 * 25.0)
        served = self.play(rates)
        self.assertGreater(served["steady"], 0.95 * 25.0)
        self.assertGreater(served["small"], 0.95 * 5.0)
        self.assertGreater(sum(served.values()), 0.93 * CAPACITY)

    def test_teams_that_want_more_share_by_their_rates(self):
        rates = {"large": 200.0, "small": 200.0}
        served = self.play(rates, weights={"large": 30.0, "small": 10.0})
        self.assertAlmostEqual(3.0, served["large"] / served["small"], delta=0.4)

    def test_a_lone_team_uses_the_whole_server(self):
        served = self.play({"flood": 300.0})
        self.assertGreater(served["flood"], 0.93 * CAPACITY)

    def test_no_share_of_a_lower_rank_goes_before_a_higher_rank(self):
        rates = {"urgent": 60.0, "flood": 200.0, "small": 20.0}
        served = self.play(rates, ranks={"urgent": 0})
        self.assertGreater(served["urgent"], 0.97 * 60.0)
        self.assertGreater(sum(served.values()), 0.93 * CAPACITY)

    def test_unknown_teams_get_the_share_of_their_number(self):
        """Calls of unknown lineage must not lose to those of known teams."""
        served = self.play({"": 150.0, "known": 50.0}, is_call=True)
        self.assertAlmostEqual(3.0, served[""] / served["known"], delta=1.0)

    def test_a_team_that_did_not_wait_gets_no_credit(self):
        """A team that comes late would else hold up all the others."""
        queue = WeightedQueue(1.0, TeamWeights())
        started = []
        for team, starts in (("early", 20), ("late", 20)):
            for _ in range(40):
                work = Work("entry", False, 2, 9.0, 9.0)
                work.team, work.cost = team, 0.1
                queue.push(work)
            for _ in range(starts):
                work = queue.head()
                queue.remove(work)
                queue.charge(work, work.cost)
                started.append(work.team)
        self.assertEqual(["early"] * 20, started[:20])
        self.assertIn(started[20:].count("late"), (9, 10, 11))

    def test_an_empty_start_treats_all_alike(self):
        served = self.play({"first": 100.0, "second": 100.0})
        self.assertAlmostEqual(1.0, served["first"] / served["second"], delta=0.1)
