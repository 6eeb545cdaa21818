"""Classification of requests for service-level objectives."""

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
"""Reasons for refusals that the caller caused; they do not spend error budget."""

MIN_SERVER_ERROR_STATUS = 500


class Judgement(Enum):
    """Classification of a request; an excluded one does not count at all."""

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
    """Classify a request as good, bad or excluded.

    A good request got an answer below status 500 within `latency_seconds`.

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
    answered = outcome is Outcome.ANSWER and status < MIN_SERVER_ERROR_STATUS
    if answered and seconds <= latency_seconds:
        return Judgement.GOOD
    return Judgement.BAD
