"""Decisions on single requests, without sockets: where, when and whether they run."""

from damaskramp.dispatch.attempts import Attempts
from damaskramp.dispatch.call_depths import CallDepths
from damaskramp.dispatch.comeback import comeback_seconds
from damaskramp.dispatch.lenders import Lenders, LenderSettings
from damaskramp.dispatch.placing import PlacingSettings, Tries
from damaskramp.dispatch.retry_budget import (
    RepeatShare,
    RetryBudget,
    RetryBudgetSettings,
)
from damaskramp.dispatch.route_times import RouteTimes
from damaskramp.dispatch.routes import RouteEntry, RouteTable
from damaskramp.dispatch.selection import SelectionSettings, ServerSelector
from damaskramp.dispatch.shared_rate import SharedRate, SharedRateSettings, TeamRates
from damaskramp.dispatch.slots import Load, SlotQueue, SlotSettings, Verdict, Work
from damaskramp.dispatch.suspects import Death, Suspects, SuspectSettings

__all__ = [
    "Attempts",
    "CallDepths",
    "Death",
    "LenderSettings",
    "Lenders",
    "Load",
    "PlacingSettings",
    "RepeatShare",
    "RetryBudget",
    "RetryBudgetSettings",
    "RouteEntry",
    "RouteTable",
    "RouteTimes",
    "SelectionSettings",
    "ServerSelector",
    "SharedRate",
    "SharedRateSettings",
    "SlotQueue",
    "SlotSettings",
    "SuspectSettings",
    "Suspects",
    "TeamRates",
    "Tries",
    "Verdict",
    "Work",
    "comeback_seconds",
]
