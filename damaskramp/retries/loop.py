"""Retry and redirect decisions for one call at one hop."""

from dataclasses import dataclass
from enum import Enum

from damaskramp.config import RetrySettings
from damaskramp.retries.backoff import Backoff

__all__ = ["Decision", "RetryLoop", "Retryability", "Step"]


class Retryability(Enum):
    """Further attempts that the reply to an attempt allows.

    ``FINAL`` allows none. ``REDIRECTABLE`` proves that no backend server received the
    call. After ``RETRIABLE``, a backend server may already have spent work on it.
    """

    FINAL = "final"
    REDIRECTABLE = "elsewhere"
    RETRIABLE = "retriable"


class Step(Enum):
    """Action after an attempt."""

    STOP = "stop"
    REDIRECT = "redirect"
    RETRY = "retry"


@dataclass(frozen=True, slots=True)
class Decision:
    """Next step of a hop, and the wait in seconds before it."""

    step: Step
    wait: float = 0.0


class RetryLoop:
    """Retries of one call at one hop, taken from the budget of the whole request.

    A redirect costs no retry, because no backend server received the call. The number
    of redirects is bounded per hop, so that redirects do not multiply over a chain.

    Parameters
    ----------
    settings : RetrySettings
        Bound on redirects.
    backoff : Backoff
        Source of the waits before retries.
    retries : int
        Retries that this call may make.
    """

    def __init__(self, settings: RetrySettings, backoff: Backoff, retries: int) -> None:
        self._backoff = backoff
        self._retries_left = retries
        self._redirects_left = settings.redirects
        self._retries_made = 0

    @property
    def left(self) -> int:
        """Retries that the request has left."""
        return self._retries_left

    def after(
        self, retryability: Retryability, unspent: int, remaining: float
    ) -> Decision:
        """Decide the next step after an attempt.

        Parameters
        ----------
        retryability : Retryability
            Further attempts that the reply allows.
        unspent : int
            Retries that the downstream hops did not spend.
        remaining : float
            Seconds until the deadline.
        """
        self._retries_left = max(0, min(self._retries_left, unspent))
        if retryability is Retryability.FINAL or remaining <= 0:
            return Decision(Step.STOP)
        if retryability is Retryability.REDIRECTABLE and self._redirects_left:
            self._redirects_left -= 1
            return Decision(Step.REDIRECT)
        if not self._retries_left:
            return Decision(Step.STOP)
        wait = self._backoff.wait(self._retries_made)
        if wait >= remaining:
            return Decision(Step.STOP)
        self._retries_left -= 1
        self._retries_made += 1
        return Decision(Step.RETRY, wait)
