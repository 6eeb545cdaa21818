"""Service-level indicators recorded by nodes, and burn rates of error budgets."""

from damaskramp.slo.burn import BudgetBurn, compute_burn
from damaskramp.slo.history import EventHistory, SeriesKey, WindowCount
from damaskramp.slo.indicator import Judgement, judge

__all__ = [
    "BudgetBurn",
    "EventHistory",
    "Judgement",
    "SeriesKey",
    "WindowCount",
    "compute_burn",
    "judge",
]
