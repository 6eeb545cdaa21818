"""Decisions, without sockets, on where, when and whether single requests run."""

from damaskramp.dispatch.attempts import Attempts
from damaskramp.dispatch.call_depths import CallDepths
from damaskramp.dispatch.call_outcomes import CallOutcomes
from damaskramp.dispatch.chain_admission import ChainAdmission
from damaskramp.dispatch.chain_pressure import ChainPressure
from damaskramp.dispatch.cold_hints import ColdHints
from damaskramp.dispatch.cold_server import ColdServer
from damaskramp.dispatch.eligibility import Eligibility, RegionSettings, Rejection
from damaskramp.dispatch.lender_estimates import LenderEstimates, LenderSettings
from damaskramp.dispatch.lineage import (
    NO_INFERENCE,
    UNKNOWN_LINEAGE,
    UNKNOWN_RANK,
    Confidence,
    Inference,
    Lineage,
)
from damaskramp.dispatch.load import Load
from damaskramp.dispatch.load_exchange import ExchangeSettings, KnownLoad, LoadExchange
from damaskramp.dispatch.placement import PlacementSettings, RefusalBudget
from damaskramp.dispatch.pressure import PressureEntry, unpack_pressure
from damaskramp.dispatch.retry_after import jittered_retry_after, warmup_retry_after
from damaskramp.dispatch.retry_budget import (
    RepeatShare,
    RetryBudget,
    RetryBudgetSettings,
    SpendDecision,
)
from damaskramp.dispatch.return_order import (
    RefusedCallers,
    Return,
    ordered_retry_after,
)
from damaskramp.dispatch.route_times import RouteTimes
from damaskramp.dispatch.routes import RouteEntry, RouteTable
from damaskramp.dispatch.running_requests import RunningRequests, StartedRequest
from damaskramp.dispatch.selection import ServerSelector
from damaskramp.dispatch.selection_settings import SelectionSettings
from damaskramp.dispatch.server_pace import ServerPace, ServerPaceSettings, parse_pace
from damaskramp.dispatch.server_rate import ServerRate, ServerRateSettings
from damaskramp.dispatch.shared_rate import SharedRate, SharedRateSettings, TeamRates
from damaskramp.dispatch.slot_settings import SlotSettings
from damaskramp.dispatch.slots import QueueDecision, SlotQueue
from damaskramp.dispatch.suspects import Death, Suspects, SuspectSettings
from damaskramp.dispatch.warmup import HealthAnswer, Warmth, WarmupSettings
from damaskramp.dispatch.work import Work
from damaskramp.dispatch.zone_distances import ZoneDistances

__all__ = [
    "NO_INFERENCE",
    "UNKNOWN_LINEAGE",
    "UNKNOWN_RANK",
    "Attempts",
    "CallDepths",
    "CallOutcomes",
    "ChainAdmission",
    "ChainPressure",
    "ColdHints",
    "ColdServer",
    "Confidence",
    "Death",
    "Eligibility",
    "ExchangeSettings",
    "HealthAnswer",
    "Inference",
    "KnownLoad",
    "LenderEstimates",
    "LenderSettings",
    "Lineage",
    "Load",
    "LoadExchange",
    "PlacementSettings",
    "PressureEntry",
    "QueueDecision",
    "RefusalBudget",
    "RefusedCallers",
    "RegionSettings",
    "Rejection",
    "RepeatShare",
    "RetryBudget",
    "RetryBudgetSettings",
    "Return",
    "RouteEntry",
    "RouteTable",
    "RouteTimes",
    "RunningRequests",
    "SelectionSettings",
    "ServerPace",
    "ServerPaceSettings",
    "ServerRate",
    "ServerRateSettings",
    "ServerSelector",
    "SharedRate",
    "SharedRateSettings",
    "SlotQueue",
    "SlotSettings",
    "SpendDecision",
    "StartedRequest",
    "SuspectSettings",
    "Suspects",
    "TeamRates",
    "Warmth",
    "WarmupSettings",
    "Work",
    "ZoneDistances",
    "jittered_retry_after",
    "ordered_retry_after",
    "parse_pace",
    "unpack_pressure",
    "warmup_retry_after",
]
