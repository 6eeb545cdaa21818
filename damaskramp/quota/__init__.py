"""Limits each team to its rate and burst over all hosts together."""

from damaskramp.quota.bucket import TokenBucket
from damaskramp.quota.leased import LeasedLimiter, QuotaCounters
from damaskramp.quota.limiter import RateLimiter, StaticSplit
from damaskramp.quota.loans import AskTransport, LoanClient
from damaskramp.quota.messages import (
    Answer,
    Ask,
    Grant,
    HandedLease,
    Handover,
    Holding,
    TeamAnswer,
    TeamAsk,
)
from damaskramp.quota.owner import QuotaOwner
from damaskramp.quota.settings import QuotaSettings
from damaskramp.quota.shares import Allotment, ShareLedger, allot

__all__ = [
    "Allotment",
    "Answer",
    "Ask",
    "AskTransport",
    "Grant",
    "HandedLease",
    "Handover",
    "Holding",
    "LeasedLimiter",
    "LoanClient",
    "QuotaCounters",
    "QuotaOwner",
    "QuotaSettings",
    "RateLimiter",
    "ShareLedger",
    "StaticSplit",
    "TeamAnswer",
    "TeamAsk",
    "TokenBucket",
    "allot",
]
