"""Shed levels of the teams at one backend server.

The level of a team says which of its calls are shed: those whose rank lies above.
It is worked out from the offered demand and the capacity: classes are served one
after the other, and inside the class where capacity runs out each team gets its
weighted max-min fair share.

Entry nodes refuse by the same levels, so most shed calls never come. The demand is
therefore counted below the level only, and scaled up: ranks are spread evenly.

References
----------
Bertsekas, Gallager, "Data Networks", 1992, section 6.5.2 (max-min fairness).
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from damaskramp.core import TeamId

__all__ = ["ShedLevels", "fair_shares"]

INFINITE = float("inf")
LARGEST_SMOOTHING = 0.2
SMALLEST_SMOOTHING = 0.1
SMOOTHED_CALLS = 50
HIDDEN_DEMAND_DECAY = 0.97
SMALLEST_FRACTION = 0.02
FRACTIONS_KEPT = 3
NEGLIGIBLE_RATE = 1e-3
SERVED_SMOOTHING = 0.1
CORRECTION_STEP = 0.05
MAX_CORRECTION = 2.0


def fair_shares(
    demands: Mapping[TeamId, float],
    weights: Mapping[TeamId, float],
    capacity: float,
) -> dict[TeamId, float]:
    """Weighted max-min fair shares of a capacity.

    Examples
    --------
    >>> demands = {"a": 10.0, "b": 50.0, "c": 50.0}
    >>> sorted(fair_shares(demands, {"b": 1.0, "c": 3.0}, 50.0).items())
    [('a', 10.0), ('b', 10.0), ('c', 30.0)]
    """
    shares: dict[TeamId, float] = {}
    remaining = capacity

    def level(team: TeamId) -> float:
        return demands[team] / weights.get(team, 1.0)

    order = sorted(demands, key=lambda team: (level(team), team))
    weight = sum(weights.get(team, 1.0) for team in order)
    for team in order:
        own = weights.get(team, 1.0)
        shares[team] = min(demands[team], remaining * own / weight)
        remaining -= shares[team]
        weight -= own
    return shares


@dataclass(slots=True)
class _Demand:
    """Offered calls of one team in one class.

    Attributes
    ----------
    rate : float
        Estimated calls a second, those refused at the entry included.
    served : float
        Admitted calls a second, smoothed.
    correction : float
        Factor on the fraction let in, from what came of earlier ones.
    fractions : list of float
        Shares of the hash range that were let in lately, the newest last.
    """

    rate: float = 0.0
    below: int = 0
    arrived: int = 0
    admitted: int = 0
    served: float = 0.0
    correction: float = 1.0
    fractions: list[float] = field(default_factory=lambda: [1.0])

    @property
    def known(self) -> float:
        """Part of the hash range that no entry node has refused lately."""
        return min(self.fractions)

    def count(self, part: float) -> None:
        """Count a call whose hash is `part`."""
        self.arrived += 1
        self.below += part < self.known

    def update(self, seconds: float, smoothing: float) -> None:
        """Estimate the rate anew."""
        if self.known < SMALLEST_FRACTION:
            seen = self.arrived / seconds
            self.rate = max(seen, self.rate * HIDDEN_DEMAND_DECAY)
        else:
            seen = self.below / self.known / seconds
            self.rate += smoothing * (seen - self.rate)
        seen = self.admitted / seconds
        self.served += SERVED_SMOOTHING * (seen - self.served)
        self.below = 0
        self.arrived = 0
        self.admitted = 0

    def fraction(self, share: float) -> float:
        """Part of the hash range that brings about a share."""
        if self.rate <= share:
            self.correction = 1.0
            return 1.0
        lack = (share - self.served) / share if share > 0 else 0.0
        changed = self.correction * (1.0 + CORRECTION_STEP * max(-1.0, lack))
        self.correction = min(MAX_CORRECTION, max(1 / MAX_CORRECTION, changed))
        return min(1.0, self.correction * share / self.rate)

    def let_in(self, fraction: float) -> None:
        """Note the share of the hash range that is let in from now on."""
        self.fractions.append(fraction)
        del self.fractions[:-FRACTIONS_KEPT]


class ShedLevels:
    """Levels of all teams.

    Parameters
    ----------
    weights : mapping of TeamId to float
        Shares; 1 for teams that it lacks.
    classes : int
        Number of priority classes.
    """

    def __init__(self, weights: Mapping[TeamId, float], classes: int) -> None:
        self._weights = weights
        self._classes = classes
        self._demands: dict[tuple[int, TeamId], _Demand] = {}
        self._levels: dict[TeamId, float] = {}
        self._default = INFINITE

    @property
    def common(self) -> float:
        """Level of a team without demand in the class that is cut."""
        return self._default

    def configure(self, weights: Mapping[TeamId, float], classes: int) -> None:
        """Follow a bundle; what is known of former classes is forgotten."""
        self._weights = weights
        if classes != self._classes:
            self._classes = classes
            self._demands.clear()
            self._levels.clear()
            self._default = INFINITE

    def level(self, team: TeamId) -> float:
        """Calls of `team` that rank above this are shed."""
        return self._levels.get(team, self._default)

    def arrived(self, priority: int, team: TeamId, rank: float) -> None:
        """Count a call that asks to be admitted."""
        demand = self._demands.get((priority, team))
        if demand is None:
            demand = self._demands[priority, team] = _Demand()
        demand.count(rank - priority)

    def admitted(self, priority: int, team: TeamId) -> None:
        """Count a call that was admitted."""
        demand = self._demands.get((priority, team))
        if demand is not None:
            demand.admitted += 1

    def demand(self) -> float:
        """Offered calls a second."""
        return sum(demand.rate for demand in self._demands.values())

    def update(self, seconds: float, capacity: float) -> None:
        """Work out the levels anew.

        Parameters
        ----------
        seconds : float
            Time since the last update.
        capacity : float
            Calls a second that can be served.
        """
        arrived = sum(demand.arrived for demand in self._demands.values())
        smoothing = max(SMALLEST_SMOOTHING, arrived / SMOOTHED_CALLS)
        for demand in self._demands.values():
            demand.update(seconds, min(LARGEST_SMOOTHING, smoothing))
        self._forget_idle()
        self._levels = {}
        self._default = INFINITE
        remaining = capacity
        for priority in sorted({priority for priority, _ in self._demands}):
            remaining = self._fill_class(priority, remaining)

    def _fill_class(self, priority: int, capacity: float) -> float:
        """Share a capacity within a class; what is left for the next."""
        teams = {
            team: demand
            for (number, team), demand in self._demands.items()
            if number == priority
        }
        if self._default != INFINITE:
            for demand in teams.values():
                demand.let_in(0.0)
            return 0.0
        rates = {team: demand.rate for team, demand in teams.items()}
        wanted = sum(rates.values())
        if wanted <= capacity:
            for demand in teams.values():
                demand.let_in(1.0)
            return capacity - wanted
        self._default = priority + 1.0
        for team, share in fair_shares(rates, self._weights, capacity).items():
            fraction = teams[team].fraction(share)
            teams[team].let_in(fraction)
            self._levels[team] = priority + fraction
        return 0.0

    def _forget_idle(self) -> None:
        idle = [
            key
            for key, demand in self._demands.items()
            if demand.rate < NEGLIGIBLE_RATE
        ]
        for key in idle:
            del self._demands[key]
