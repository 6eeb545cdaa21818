"""Whether a request counts as good for a service-level objective."""

from enum import Enum

from damaskramp.core import Outcome, Reason

__all__ = ["Judgement", "judge"]

CALLER_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.KEY_MISSING,
        Reason.KEY_UNKNOWN,
        Reason.KEY_WITHDRAWN,
        Reason.KEY_MISPLACED,
        Reason.CONTEXT_UNKNOWN,
        Reason.NO_ROUTE,
        Reason.TEAM_OVER_RATE,
        Reason.TOO_LARGE,
        Reason.TOO_DEEP,
        Reason.QUARANTINED,
        Reason.REQUEST_CONFLICT,
        Reason.REQUEST_RUNNING,
    }
)
"""Refusals that the caller brought about; they spend no error budget."""

FIRST_SERVER_ERROR = 500


class Judgement(Enum):
    """How a request counts."""

    GOOD = "good"
    BAD = "bad"
    EXCLUDED = "excluded"


def judge(
    outcome: Outcome,
    reason: Reason,
    status: int,
    seconds: float,
    latency_seconds: float,
) -> Judgement:
    """Judge one request.

    Examples
    --------
    >>> judge(Outcome.ANSWER, Reason.NONE, 200, 0.1, 0.5)
    <Judgement.GOOD: 'good'>
    >>> judge(Outcome.ANSWER, Reason.NONE, 200, 0.6, 0.5)
    <Judgement.BAD: 'bad'>
    >>> judge(Outcome.NOT_RUN, Reason.TEAM_OVER_RATE, 0, 0.0, 0.5)
    <Judgement.EXCLUDED: 'excluded'>
    """
    if reason in CALLER_REASONS:
        return Judgement.EXCLUDED
    answered = outcome is Outcome.ANSWER and status < FIRST_SERVER_ERROR
    if answered and seconds <= latency_seconds:
        return Judgement.GOOD
    return Judgement.BAD
