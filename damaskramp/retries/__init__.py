"""Retry decisions, budgets and backoff, and retry-after hints for callers."""

from damaskramp.retries.backoff import Backoff, HintSpreader
from damaskramp.retries.budget import RetryBudgets
from damaskramp.retries.loop import Decision, Retryability, RetryLoop, Step
from damaskramp.retries.repeats import RecentFailures, RepeatedCalls, call_digest

__all__ = [
    "Backoff",
    "Decision",
    "HintSpreader",
    "RecentFailures",
    "RepeatedCalls",
    "RetryBudgets",
    "RetryLoop",
    "Retryability",
    "Step",
    "call_digest",
]
