"""Context tokens: what a backend server shows for calls that it makes.

A token is random, known to one node only and valid while its call runs.
"""

import secrets

from damaskramp.admission import Permit
from damaskramp.core import TimerService
from damaskramp.node.calls import CallContext
from damaskramp.retries import RepeatedCalls

__all__ = ["ContextTable", "RunningContext"]

TOKEN_BYTES = 16


class RunningContext:
    """Context of a call that is running on the backend server of this node.

    Parameters
    ----------
    context : CallContext
        Context that its own calls inherit.
    permit : Permit, optional
        Right under which it runs; parked while a call of it runs.
    timers : TimerService, optional
        Time that its calls are measured by.
    """

    def __init__(
        self,
        context: CallContext,
        permit: Permit | None = None,
        timers: TimerService | None = None,
    ) -> None:
        self._context = context
        self._permit = permit
        self._timers = timers
        self._retries_left = context.retries_left
        self._shed_level = float("inf")
        self._nested = 0
        self._nested_since = 0.0
        self._nested_seconds = 0.0
        self._nested_failed = False
        self._calls = RepeatedCalls()

    @property
    def context(self) -> CallContext:
        """Context that its own calls inherit."""
        return self._context

    @property
    def retries_left(self) -> int:
        """Retries that no call of it holds now."""
        return self._retries_left

    @property
    def shed_level(self) -> float:
        """Tightest level known of the calls that it has made."""
        return self._shed_level

    @property
    def nested_seconds(self) -> float:
        """Time in seconds during which a call of it was running."""
        if self._nested and self._timers is not None:
            return self._nested_seconds + self._timers.now - self._nested_since
        return self._nested_seconds

    @property
    def nested_failed(self) -> bool:
        """Whether a call of it was not answered, or still runs."""
        return self._nested_failed or self._nested > 0

    def begin_nested(self) -> None:
        """Note that a call of it begins."""
        self._nested += 1
        if self._nested > 1 or self._timers is None:
            return
        self._nested_since = self._timers.now
        if self._permit is not None:
            self._permit.park()

    def end_nested(self, answered: bool, shed_level: float) -> None:
        """Note that a call of it has ended, and the level known of its service."""
        self._nested -= 1
        self._nested_failed |= not answered
        self._shed_level = min(self._shed_level, shed_level)
        if self._nested or self._timers is None:
            return
        self._nested_seconds += self._timers.now - self._nested_since
        if self._permit is not None:
            self._permit.resume()

    def begin_call(self, digest: bytes) -> int | None:
        """Lend all remaining retries to a call; None where it is not allowed.

        A call that the backend server sends again costs a retry. A call that runs
        beside another finds the retries lent, and sets out with none.
        """
        if self._calls.is_repeat(digest):
            if self._retries_left == 0:
                return None
            self._retries_left -= 1
        self._calls.begin(digest)
        lent = self._retries_left
        self._retries_left = 0
        return lent

    def end_call(self, digest: bytes, failed: bool, unspent: int) -> None:
        """Record the end of a call and take back what it did not spend."""
        self._calls.end(digest, failed)
        self._retries_left += unspent


class ContextTable:
    """Tokens of the calls that are running.

    Parameters
    ----------
    timers : TimerService, optional
        Time that nested calls are measured by.
    """

    def __init__(self, timers: TimerService | None = None) -> None:
        self._timers = timers
        self._running: dict[str, RunningContext] = {}

    def __len__(self) -> int:
        return len(self._running)

    def issue(
        self, context: CallContext, permit: Permit | None = None
    ) -> tuple[str, RunningContext]:
        """Make a token for a call that is about to run."""
        token = secrets.token_hex(TOKEN_BYTES)
        running = RunningContext(context, permit, self._timers)
        self._running[token] = running
        return token, running

    def find(self, token: str) -> RunningContext | None:
        """Context of a running call."""
        return self._running.get(token)

    def end(self, token: str) -> None:
        """Forget a call that has ended."""
        self._running.pop(token, None)
