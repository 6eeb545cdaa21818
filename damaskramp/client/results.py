"""Results of calls, read from the headers of responses."""

from dataclasses import dataclass

from damaskramp.core import Outcome, Reason
from damaskramp.http import HttpResponse

__all__ = ["CallResult", "read_result"]

OUTCOME = b"damaskramp-outcome"
REASON = b"damaskramp-reason"
RETRY_AFTER = b"retry-after"


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call.

    Attributes
    ----------
    outcome : Outcome
        Outcome of the request; ``UNKNOWN`` if it was sent but no response arrived.
    retry_after : float
        Seconds to wait before the next attempt; 0 if there is no hint.
    response : HttpResponse or None
        Last response; None if there was none.
    attempts : int
        Number of attempts that were sent.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    retry_after: float = 0.0
    response: HttpResponse | None = None
    attempts: int = 0


def read_result(response: HttpResponse) -> CallResult:
    """Return the result that a response states.

    A response without an outcome does not come from a node, so the outcome of the
    request is unknown.

    Examples
    --------
    >>> headers = ((b"damaskramp-outcome", b"not-run"), (b"retry-after", b"2"))
    >>> result = read_result(HttpResponse(429, headers))
    >>> result.outcome, result.retry_after
    (<Outcome.NOT_RUN: 'not-run'>, 2.0)
    """
    return CallResult(
        _parse_outcome(response.value(OUTCOME)),
        _parse_reason(response.value(REASON)),
        _parse_retry_after(response.value(RETRY_AFTER)),
        response,
    )


def _parse_outcome(value: bytes | None) -> Outcome:
    try:
        return Outcome((value or b"").decode("latin-1"))
    except ValueError:
        return Outcome.UNKNOWN


def _parse_reason(value: bytes | None) -> Reason:
    try:
        return Reason((value or b"none").decode("latin-1"))
    except ValueError:
        return Reason.NONE


def _parse_retry_after(value: bytes | None) -> float:
    return float(value) if value is not None and value.isdigit() else 0.0
