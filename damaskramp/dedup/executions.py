"""Record of the requests that this node has sent to its backend server."""

from collections.abc import Callable

from damaskramp.core import TimerService
from damaskramp.dedup.claims import ClaimState, ClaimTable
from damaskramp.dedup.request_ids import ClaimKey

__all__ = ["ExecutionLedger"]


class ExecutionLedger:
    """Requests released on this host, each kept for the retention time.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    retention : callable
        Returns the time in seconds for which an entry is kept after its request ends.
    claims : int
        Maximum number of entries.
    """

    def __init__(
        self, timers: TimerService, retention: Callable[[], float], claims: int
    ) -> None:
        self._table: ClaimTable[None] = ClaimTable(timers, retention, claims, 0)

    @property
    def full(self) -> bool:
        """Whether the ledger has no room for another entry."""
        return self._table.full

    def __len__(self) -> int:
        return len(self._table)

    def released(self, key: ClaimKey) -> bool:
        """Return whether the request was released on this host."""
        return self._table.get(key) is not None

    def record(self, key: ClaimKey) -> None:
        """Record a release; call this before the first byte is sent.

        Raises
        ------
        ValueError
            If the request is recorded already or the ledger is full.
        """
        self._table.claim(key, b"")

    def end(self, key: ClaimKey, ran: bool) -> None:
        """Record the end of a request, or remove one that provably did not run."""
        if ran:
            self._table.settle(key, ClaimState.UNKNOWN)
        else:
            self._table.withdraw(key)
