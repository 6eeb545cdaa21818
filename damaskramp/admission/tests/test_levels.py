import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.admission import ShedLevels, fair_shares
from damaskramp.core import TeamId
from damaskramp.testing import LoopTestCase

PERIOD_SECONDS = 0.1


def simulate(levels, rates, capacity, seconds, refuse_early=True, seed=3):
    """Return served calls per second by class and team.

    With `refuse_early`, calls above the level do not arrive, as behind entry nodes.
    """
    random_state = np.random.default_rng(seed)
    served = {}
    for _ in range(int(seconds / PERIOD_SECONDS)):
        for (priority, team), rate in rates.items():
            for hash_fraction in random_state.uniform(
                size=random_state.poisson(rate * PERIOD_SECONDS)
            ):
                admitted = priority + hash_fraction <= levels.level(team)
                if admitted or not refuse_early:
                    levels.record_arrival(priority, team, priority + hash_fraction)
                if admitted:
                    levels.record_admission(priority, team)
                    key = priority, team
                    served[key] = served.get(key, 0) + 1
        levels.update(PERIOD_SECONDS, capacity)
    return {key: count / seconds for key, count in served.items()}


class TestShedLevels(LoopTestCase):
    def test_important_class_is_fully_served_and_last_class_is_shed(self):
        """Guards against shedding that ignores classes, also with early refusal."""
        for refuse_early in (False, True):
            levels = ShedLevels({}, 3)
            rates = {(0, "a"): 100.0, (1, "a"): 200.0, (2, "a"): 300.0}
            simulate(levels, rates, 200.0, 5.0, refuse_early)
            served = simulate(levels, rates, 200.0, 20.0, refuse_early)
            self.assertGreaterEqual(served[0, "a"], 95.0)
            self.assertAlmostEqual(200.0, sum(served.values()), delta=20.0)
            self.assertLess(served.get((2, "a"), 0.0), 5.0)

    def test_team_at_five_times_its_rate_leaves_the_others_their_share(self):
        """Guards against one team that takes the capacity of the others."""
        levels = ShedLevels({TeamId("large"): 2.0}, 1)
        rates = {(0, "large"): 100.0, (0, "small"): 50.0, (0, "greedy"): 250.0}
        simulate(levels, rates, 200.0, 5.0)
        served = simulate(levels, rates, 200.0, 20.0)
        self.assertGreaterEqual(served[0, "large"], 0.9 * 100.0)
        self.assertGreaterEqual(served[0, "small"], 0.9 * 50.0)
        self.assertGreaterEqual(sum(served.values()), 0.9 * 200.0)

    def test_unused_share_goes_to_the_other_teams(self):
        levels = ShedLevels({TeamId("idle"): 8.0}, 1)
        rates = {(0, "busy"): 300.0}
        simulate(levels, rates, 100.0, 5.0)
        served = simulate(levels, rates, 100.0, 10.0)
        self.assertGreaterEqual(served[0, "busy"], 90.0)

    def test_levels_are_lifted_when_demand_falls(self):
        """Guards against a level that stays because it hides the demand it sheds."""
        levels = ShedLevels({}, 3)
        simulate(levels, {(1, "a"): 1000.0}, 100.0, 5.0)
        self.assertLess(levels.level(TeamId("a")), 2.0)
        simulate(levels, {(1, "a"): 50.0}, 100.0, 5.0)
        self.assertEqual(float("inf"), levels.level(TeamId("a")))

    @settings(derandomize=True, deadline=None)
    @given(
        st.dictionaries(st.sampled_from("abcde"), st.floats(0.1, 1e4), min_size=1),
        st.dictionaries(st.sampled_from("abcde"), st.floats(0.1, 10)),
        st.floats(0.1, 1e4),
    )
    def test_shares_are_max_min_fair(self, demands, weights, capacity):
        shares = fair_shares(demands, weights, capacity)
        used = sum(shares.values())
        self.assertLessEqual(used, capacity * (1 + 1e-9))
        expected = min(capacity, sum(demands.values()))
        self.assertAlmostEqual(expected, used, delta=1e-6 * expected)
        most = max(shares[team] / weights.get(team, 1.0) for team in demands)
        for team, share in shares.items():
            self.assertLessEqual(share, demands[team])
            if share < demands[team] * (1 - 1e-9):
                unit = share / weights.get(team, 1.0)
                self.assertGreaterEqual(unit, most * (1 - 1e-6))
