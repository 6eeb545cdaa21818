"""Context tokens: what a backend server shows for calls that it makes.

A token is random, known to one node only and valid while its call runs.
"""

import secrets

from damaskramp.node.calls import CallContext

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

    @property
    def context(self) -> CallContext:
        """Context that its own calls inherit."""
        return self._context

    @property
    def retries_left(self) -> int:
        """Retries that no call of it holds now."""
        return self._retries_left

    def lend_retries(self) -> int:
        """Hand all remaining retries to one call."""
        lent = self._retries_left
        self._retries_left = 0
        return lent

    def return_retries(self, unspent: int) -> None:
        """Take back what a call did not spend."""
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
