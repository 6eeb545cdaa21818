"""Shed levels of the teams at one backend server.

Calls of a team with a rank above the level of the team are shed. The level is
computed from the offered demand and the capacity: classes are served in order of
importance, and in the class where capacity runs out each team gets its weighted
max-min fair share.

Entry nodes refuse calls by the same levels, so most calls above a level never arrive
here. Demand is therefore estimated from the calls below the recent levels, scaled up
to the whole class. This is valid because ranks are distributed uniformly within a
class.

References
----------
Bertsekas, Gallager, "Data Networks", 1992, section 6.5.2 (max-min fairness).
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from damaskramp.core import TeamId

__all__ = ["ShedLevels", "fair_shares"]

INFINITE = float("inf")
MAX_SMOOTHING = 0.2
MIN_SMOOTHING = 0.1
FULL_SMOOTHING_CALLS = 50
HIDDEN_DEMAND_DECAY = 0.97
MIN_VISIBLE_FRACTION = 0.02
MAX_KEPT_FRACTIONS = 3
NEGLIGIBLE_CALLS_PER_SECOND = 1e-3
ADMITTED_RATE_SMOOTHING = 0.1
CORRECTION_STEP = 0.05
MAX_CORRECTION = 2.0


def fair_shares(
    demands: Mapping[TeamId, float],
    weights: Mapping[TeamId, float],
    capacity: float,
) -> dict[TeamId, float]:
    """Compute the weighted max-min fair shares of a capacity.

    Parameters
    ----------
    demands : mapping of TeamId to float
        Demand of each team, in the unit of `capacity`.
    weights : mapping of TeamId to float
        Weights of the teams; a missing team has weight 1.
    capacity : float
        Capacity to divide.

    Returns
    -------
    dict of TeamId to float
        Share of each team; no share exceeds the demand of its team.

    Examples
    --------
    >>> demands = {"a": 10.0, "b": 50.0, "c": 50.0}
    >>> sorted(fair_shares(demands, {"b": 1.0, "c": 3.0}, 50.0).items())
    [('a', 10.0), ('b', 10.0), ('c', 30.0)]
    """
    shares: dict[TeamId, float] = {}
    remaining = capacity

    def weighted_demand(team: TeamId) -> float:
        return demands[team] / weights.get(team, 1.0)

    order = sorted(demands, key=lambda team: (weighted_demand(team), team))
    remaining_weight = sum(weights.get(team, 1.0) for team in order)
    for team in order:
        team_weight = weights.get(team, 1.0)
        shares[team] = min(demands[team], remaining * team_weight / remaining_weight)
        remaining -= shares[team]
        remaining_weight -= team_weight
    return shares


@dataclass(slots=True)
class _Demand:
    """Demand of one team in one class.

    Attributes
    ----------
    rate : float
        Estimated calls per second, including calls refused at entry nodes.
    admitted_rate : float
        Smoothed rate of admitted calls per second.
    correction : float
        Factor on the admitted fraction. It rises while earlier fractions admitted
        less than the share of the team, and falls while they admitted more.
    fractions : list of float
        Fractions of the hash range admitted by recent levels, the newest last.
    """

    rate: float = 0.0
    visible_arrivals: int = 0
    arrived: int = 0
    admitted: int = 0
    admitted_rate: float = 0.0
    correction: float = 1.0
    fractions: list[float] = field(default_factory=lambda: [1.0])

    @property
    def visible_fraction(self) -> float:
        """Fraction of the hash range that no entry node has refused recently."""
        return min(self.fractions)

    def record_arrival(self, hash_fraction: float) -> None:
        """Count an arriving call whose hash in [0, 1) is `hash_fraction`."""
        self.arrived += 1
        self.visible_arrivals += hash_fraction < self.visible_fraction

    def update(self, seconds: float, smoothing: float) -> None:
        """Update the rates from the calls counted in the last `seconds`."""
        if self.visible_fraction < MIN_VISIBLE_FRACTION:
            observed_rate = self.arrived / seconds
            self.rate = max(observed_rate, self.rate * HIDDEN_DEMAND_DECAY)
        else:
            observed_rate = self.visible_arrivals / self.visible_fraction / seconds
            self.rate += smoothing * (observed_rate - self.rate)
        observed_rate = self.admitted / seconds
        self.admitted_rate += ADMITTED_RATE_SMOOTHING * (
            observed_rate - self.admitted_rate
        )
        self.visible_arrivals = 0
        self.arrived = 0
        self.admitted = 0

    def fraction(self, share: float) -> float:
        """Fraction of the hash range to admit so that the admitted rate is `share`."""
        if self.rate <= share:
            self.correction = 1.0
            return 1.0
        shortfall = (share - self.admitted_rate) / share if share > 0 else 0.0
        correction = self.correction * (1.0 + CORRECTION_STEP * max(-1.0, shortfall))
        self.correction = min(MAX_CORRECTION, max(1 / MAX_CORRECTION, correction))
        return min(1.0, self.correction * share / self.rate)

    def record_fraction(self, fraction: float) -> None:
        """Record the fraction of the hash range that is admitted from now on."""
        self.fractions.append(fraction)
        del self.fractions[:-MAX_KEPT_FRACTIONS]


class ShedLevels:
    """Shed levels of all teams.

    Parameters
    ----------
    weights : mapping of TeamId to float
        Weights of the teams; a missing team has weight 1.
    classes : int
        Number of priority classes.
    """

    def __init__(self, weights: Mapping[TeamId, float], classes: int) -> None:
        self._weights = weights
        self._classes = classes
        self._demands: dict[tuple[int, TeamId], _Demand] = {}
        self._levels: dict[TeamId, float] = {}
        self._default_level = INFINITE

    @property
    def default_level(self) -> float:
        """Level of a team that has no demand in the partly shed class."""
        return self._default_level

    def configure(self, weights: Mapping[TeamId, float], classes: int) -> None:
        """Apply a bundle; a new number of classes clears the demand and the levels."""
        self._weights = weights
        if classes != self._classes:
            self._classes = classes
            self._demands.clear()
            self._levels.clear()
            self._default_level = INFINITE

    def level(self, team: TeamId) -> float:
        """Return the level of `team`; its calls with a higher rank are shed."""
        return self._levels.get(team, self._default_level)

    def record_arrival(self, priority: int, team: TeamId, rank: float) -> None:
        """Count a call that requests admission."""
        demand = self._demands.get((priority, team))
        if demand is None:
            demand = self._demands[priority, team] = _Demand()
        demand.record_arrival(rank - priority)

    def record_admission(self, priority: int, team: TeamId) -> None:
        """Count a call that was admitted."""
        demand = self._demands.get((priority, team))
        if demand is not None:
            demand.admitted += 1

    def demand(self) -> float:
        """Return the total demand in calls per second."""
        return sum(demand.rate for demand in self._demands.values())

    def update(self, seconds: float, capacity: float) -> None:
        """Recompute the levels.

        Parameters
        ----------
        seconds : float
            Seconds since the last update.
        capacity : float
            Calls per second that the backend server can serve.
        """
        arrived = sum(demand.arrived for demand in self._demands.values())
        smoothing = max(MIN_SMOOTHING, arrived / FULL_SMOOTHING_CALLS)
        for demand in self._demands.values():
            demand.update(seconds, min(MAX_SMOOTHING, smoothing))
        self._drop_idle_demands()
        self._levels = {}
        self._default_level = INFINITE
        remaining = capacity
        for priority in sorted({priority for priority, _ in self._demands}):
            remaining = self._allocate_class(priority, remaining)

    def _allocate_class(self, priority: int, capacity: float) -> float:
        """Divide the capacity within a class and return the remaining capacity."""
        teams = {
            team: demand
            for (number, team), demand in self._demands.items()
            if number == priority
        }
        if self._default_level != INFINITE:
            for demand in teams.values():
                demand.record_fraction(0.0)
            return 0.0
        rates = {team: demand.rate for team, demand in teams.items()}
        total_rate = sum(rates.values())
        if total_rate <= capacity:
            for demand in teams.values():
                demand.record_fraction(1.0)
            return capacity - total_rate
        self._default_level = priority + 1.0
        for team, share in fair_shares(rates, self._weights, capacity).items():
            fraction = teams[team].fraction(share)
            teams[team].record_fraction(fraction)
            self._levels[team] = priority + fraction
        return 0.0

    def _drop_idle_demands(self) -> None:
        idle = [
            key
            for key, demand in self._demands.items()
            if demand.rate < NEGLIGIBLE_CALLS_PER_SECOND
        ]
        for key in idle:
            del self._demands[key]
