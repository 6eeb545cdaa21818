"""Admission control and load shedding for backend servers."""

from damaskramp.admission.adaptive import AdaptiveAdmission
from damaskramp.admission.admission import (
    AdmissionController,
    AdmissionRequest,
    FixedAdmission,
    Load,
    Permit,
    Refusal,
    Sample,
    UnlimitedAdmission,
)
from damaskramp.admission.early import EarlyRefusal, TrafficClass
from damaskramp.admission.events import AdmissionEvent, AdmissionEvents
from damaskramp.admission.levels import ShedLevels, fair_shares
from damaskramp.admission.limiter import (
    ConcurrencyLimiter,
    FixedLimiter,
    ProbingLimiter,
)
from damaskramp.admission.permit import AdaptivePermit
from damaskramp.admission.queue import Waiter, WaitQueue
from damaskramp.admission.rank import rank_of

__all__ = [
    "AdaptiveAdmission",
    "AdaptivePermit",
    "AdmissionController",
    "AdmissionEvent",
    "AdmissionEvents",
    "AdmissionRequest",
    "ConcurrencyLimiter",
    "EarlyRefusal",
    "FixedAdmission",
    "FixedLimiter",
    "Load",
    "Permit",
    "ProbingLimiter",
    "Refusal",
    "Sample",
    "ShedLevels",
    "TrafficClass",
    "UnlimitedAdmission",
    "WaitQueue",
    "Waiter",
    "fair_shares",
    "rank_of",
]
