"""Burn rates of error budgets, computed from the windows that nodes report.

References
----------
B. Beyer et al. (eds.), The Site Reliability Workbook, chapter 5, "Alerting on
SLOs": multiwindow, multi-burn-rate alerts.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from damaskramp.slo.history import SeriesKey, WindowCount

__all__ = ["Alert", "BudgetBurn", "Goal", "NodeWindows", "compute_burn"]

SECONDS_PER_DAY = 86400.0


@dataclass(frozen=True, slots=True)
class Goal:
    """Service-level objective, as nodes report it."""

    service: str
    priority: str
    good_ratio: float
    latency_seconds: float
    window_days: float


@dataclass(frozen=True, slots=True)
class NodeWindows:
    """Window counts of one series on one node."""

    key: SeriesKey
    counts: tuple[WindowCount, ...]


@dataclass(frozen=True, slots=True)
class Alert:
    """Pair of windows whose burn rates must both reach a threshold."""

    name: str
    long_seconds: int
    short_seconds: int
    threshold: float


ALERTS = (
    Alert("page", 3600, 300, 14.4),
    Alert("page", 21600, 1800, 6.0),
    Alert("ticket", 259200, 21600, 1.0),
)


@dataclass(frozen=True, slots=True)
class BudgetBurn:
    """Burn rates of one error budget.

    Attributes
    ----------
    rates : dict of int to float
        Burn rate for each window in seconds; at a rate of 1 the budget is spent
        exactly over the objective's window.
    events : dict of int to int
        Number of good and bad events for each window.
    covered : dict of int to float
        Fraction of each window in which the nodes were running and counted.
    alert : str
        ``page``, ``ticket``, or empty for no alert.
    exhausted_in_days : float or None
        Days in which a whole budget is spent at the burn rate of the last hour;
        None if that rate is 0.
    """

    goal: Goal
    key: SeriesKey
    rates: dict[int, float]
    events: dict[int, int]
    covered: dict[int, float]
    alert: str
    exhausted_in_days: float | None


def compute_burn(
    goals: Iterable[Goal], windows: Iterable[NodeWindows]
) -> list[BudgetBurn]:
    """Return the burn of each goal's series, summed over nodes, fastest first."""
    series: dict[SeriesKey, list[tuple[WindowCount, ...]]] = defaultdict(list)
    for item in windows:
        series[item.key].append(item.counts)
    burns = []
    for goal in goals:
        for key, counts in series.items():
            if goal.service == key.service and goal.priority in ("", key.priority):
                burns.append(_burn_of_series(goal, key, counts))
    return sorted(burns, key=lambda burn: -burn.rates.get(3600, 0.0))


def _burn_of_series(
    goal: Goal, key: SeriesKey, nodes: list[tuple[WindowCount, ...]]
) -> BudgetBurn:
    good: dict[int, int] = defaultdict(int)
    bad: dict[int, int] = defaultdict(int)
    covered: dict[int, float] = defaultdict(float)
    for counts in nodes:
        for count in counts:
            window = count.window_seconds
            good[window] += count.good
            bad[window] += count.bad
            covered[window] += count.covered_seconds / window / len(nodes)
    events = {window: good[window] + bad[window] for window in good}
    budget = 1.0 - goal.good_ratio
    rates = {
        window: bad[window] / total / budget if total else 0.0
        for window, total in events.items()
    }
    hour = rates.get(3600, 0.0)
    exhausted_in_days = goal.window_days / hour if hour > 0 else None
    return BudgetBurn(
        goal, key, rates, events, dict(covered), _alert(rates), exhausted_in_days
    )


def _alert(rates: dict[int, float]) -> str:
    for alert in ALERTS:
        long_rate = rates.get(alert.long_seconds, 0.0)
        short_rate = rates.get(alert.short_seconds, 0.0)
        if min(long_rate, short_rate) >= alert.threshold:
            return alert.name
    return ""
