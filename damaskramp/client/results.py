"""What a caller learns from a response."""

from dataclasses import dataclass

from damaskramp.core import Outcome, Reason
from damaskramp.http import HttpResponse

__all__ = ["CallResult", "read_result"]

OUTCOME = b"damaskramp-outcome"
REASON = b"damaskramp-reason"
RETRY_AFTER = b"retry-after"


@dataclass(frozen=True, slots=True)
class CallResult:
    """End of a call.

    Attributes
    ----------
    outcome : Outcome
        ``UNKNOWN`` where no response came back.
    retry_after : float
        Seconds until another try is worth its while, 0 for no hint.
    response : HttpResponse or None
        Last response.
    attempts : int
        Attempts that were sent.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    retry_after: float = 0.0
    response: HttpResponse | None = None
    attempts: int = 0


def read_result(response: HttpResponse) -> CallResult:
    """Result of one response.

    A response without an outcome comes from something other than a node; nothing
    is known of the request.

    Examples
    --------
    >>> headers = ((b"damaskramp-outcome", b"not-run"), (b"retry-after", b"2"))
    >>> result = read_result(HttpResponse(429, headers))
    >>> result.outcome, result.retry_after
    (<Outcome.NOT_RUN: 'not-run'>, 2.0)
    """
    return CallResult(
        _outcome(response.value(OUTCOME)),
        _reason(response.value(REASON)),
        _seconds(response.value(RETRY_AFTER)),
        response,
    )


def _outcome(value: bytes | None) -> Outcome:
    try:
        return Outcome((value or b"").decode("latin-1"))
    except ValueError:
        return Outcome.UNKNOWN


def _reason(value: bytes | None) -> Reason:
    try:
        return Reason((value or b"none").decode("latin-1"))
    except ValueError:
        return Reason.NONE


def _seconds(value: bytes | None) -> float:
    return float(value) if value is not None and value.isdigit() else 0.0
