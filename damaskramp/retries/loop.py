"""Whether one hop tries a call again, and at whose cost."""

from dataclasses import dataclass
from enum import Enum

from damaskramp.config import RetrySettings
from damaskramp.retries.backoff import Backoff

__all__ = ["Decision", "RetryLoop", "Retryability", "Step"]


class Retryability(Enum):
    """What an attempt allows.

    ``FINAL`` ends the hop, ``REDIRECTABLE`` proves that no backend server saw the
    call, ``RETRIABLE`` may have cost one some work.
    """

    FINAL = "final"
    REDIRECTABLE = "elsewhere"
    RETRIABLE = "retriable"


class Step(Enum):
    """What to do after an attempt."""

    STOP = "stop"
    REDIRECT = "redirect"
    RETRY = "retry"


@dataclass(frozen=True, slots=True)
class Decision:
    """Next step of a hop, with the wait in seconds before it."""

    step: Step
    wait: float = 0.0


class RetryLoop:
    """Retries of one call at one hop, out of the budget of the whole request.

    A redirect costs no retry because no backend server saw the call; its number
    is bounded for each hop, so that it never multiplies over a chain.

    Parameters
    ----------
    settings : RetrySettings
        Bounds.
    backoff : Backoff
        Waits.
    retries : int
        Retries lent to this call.
    """

    def __init__(self, settings: RetrySettings, backoff: Backoff, retries: int) -> None:
        self._backoff = backoff
        self._left = retries
        self._redirects_left = settings.redirects
        self._spent = 0

    @property
    def left(self) -> int:
        """Retries that are left to the request."""
        return self._left

    def after(
        self, retryability: Retryability, unspent: int, remaining: float
    ) -> Decision:
        """Decide after an attempt.

        Parameters
        ----------
        unspent : int
            Retries that the hops below did not spend.
        remaining : float
            Seconds to the deadline.
        """
        self._left = max(0, min(self._left, unspent))
        if retryability is Retryability.FINAL or remaining <= 0:
            return Decision(Step.STOP)
        if retryability is Retryability.REDIRECTABLE and self._redirects_left:
            self._redirects_left -= 1
            return Decision(Step.REDIRECT)
        if not self._left:
            return Decision(Step.STOP)
        wait = self._backoff.wait(self._spent)
        if wait >= remaining:
            return Decision(Step.STOP)
        self._left -= 1
        self._spent += 1
        return Decision(Step.RETRY, wait)
