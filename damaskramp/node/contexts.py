"""Context tokens, which a backend server sends with the calls that it makes.

A token is random, known to one node only, and valid while its call runs.
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
        Context that nested calls inherit.
    permit : Permit, optional
        Permit under which the call runs; parked while a nested call runs.
    timers : TimerService, optional
        Clock by which nested calls are measured.
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
        self._nested_running = 0
        self._nested_since = 0.0
        self._nested_seconds = 0.0
        self._nested_failed = False
        self._calls = RepeatedCalls()

    @property
    def context(self) -> CallContext:
        """Context that nested calls inherit."""
        return self._context

    @property
    def retries_left(self) -> int:
        """Retries that are not granted to a nested call at present."""
        return self._retries_left

    @property
    def shed_level(self) -> float:
        """Lowest shed level known for the nested calls made so far."""
        return self._shed_level

    @property
    def nested_seconds(self) -> float:
        """Time in seconds during which a nested call was running."""
        if self._nested_running and self._timers is not None:
            return self._nested_seconds + self._timers.now - self._nested_since
        return self._nested_seconds

    @property
    def nested_failed(self) -> bool:
        """Whether a nested call was not answered or is still running."""
        return self._nested_failed or self._nested_running > 0

    def begin_nested(self) -> None:
        """Record that a nested call begins."""
        self._nested_running += 1
        if self._nested_running > 1 or self._timers is None:
            return
        self._nested_since = self._timers.now
        if self._permit is not None:
            self._permit.park()

    def end_nested(self, answered: bool, shed_level: float) -> None:
        """Record that a nested call has ended, and the shed level of its service."""
        self._nested_running -= 1
        self._nested_failed |= not answered
        self._shed_level = min(self._shed_level, shed_level)
        if self._nested_running or self._timers is None:
            return
        self._nested_seconds += self._timers.now - self._nested_since
        if self._permit is not None:
            self._permit.resume()

    def begin_call(self, digest: bytes) -> int | None:
        """Grant all remaining retries to a nested call; None if it is not allowed.

        A call that the backend server sends again costs a retry. A call that runs
        concurrently with another one gets no retries, because the other call holds
        them.
        """
        if self._calls.is_repeat(digest):
            if self._retries_left == 0:
                return None
            self._retries_left -= 1
        self._calls.begin(digest)
        granted = self._retries_left
        self._retries_left = 0
        return granted

    def end_call(self, digest: bytes, failed: bool, unspent: int) -> None:
        """Record the end of a nested call and take back its unspent retries."""
        self._calls.end(digest, failed)
        self._retries_left += unspent


class ContextTable:
    """Table of the context tokens of running calls.

    Parameters
    ----------
    timers : TimerService, optional
        Clock by which nested calls are measured.
    """

    def __init__(self, timers: TimerService | None = None) -> None:
        self._timers = timers
        self._running: dict[str, RunningContext] = {}

    def __len__(self) -> int:
        return len(self._running)

    def issue(
        self, context: CallContext, permit: Permit | None = None
    ) -> tuple[str, RunningContext]:
        """Issue a token for a call that is about to run."""
        token = secrets.token_hex(TOKEN_BYTES)
        running = RunningContext(context, permit, self._timers)
        self._running[token] = running
        return token, running

    def find(self, token: str) -> RunningContext | None:
        """Return the context of a running call, None for an unknown token."""
        return self._running.get(token)

    def end(self, token: str) -> None:
        """Remove the token of a call that has ended."""
        self._running.pop(token, None)
