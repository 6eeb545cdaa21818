"""Context tokens: what a backend server shows for calls that it makes.

A token is random, known to one node only and valid while its call runs.
"""

import secrets

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
    """

    def __init__(self, context: CallContext) -> None:
        self._context = context
        self._retries_left = context.retries_left
        self._calls = RepeatedCalls()

    @property
    def context(self) -> CallContext:
        """Context that its own calls inherit."""
        return self._context

    @property
    def retries_left(self) -> int:
        """Retries that no call of it holds now."""
        return self._retries_left

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
    """Tokens of the calls that are running."""

    def __init__(self) -> None:
        self._running: dict[str, RunningContext] = {}

    def __len__(self) -> int:
        return len(self._running)

    def issue(self, context: CallContext) -> tuple[str, RunningContext]:
        """Make a token for a call that is about to run."""
        token = secrets.token_hex(TOKEN_BYTES)
        running = RunningContext(context)
        self._running[token] = running
        return token, running

    def find(self, token: str) -> RunningContext | None:
        """Context of a running call."""
        return self._running.get(token)

    def end(self, token: str) -> None:
        """Forget a call that has ended."""
        self._running.pop(token, None)
