"""Record of what this node has handed to its backend server."""

from collections.abc import Callable

from damaskramp.core import TimerService
from damaskramp.dedup.claims import ClaimState, ClaimTable
from damaskramp.dedup.request_ids import ClaimKey

__all__ = ["ExecutionLedger"]


class ExecutionLedger:
    """Claims that were released on this host, kept for the retention time.

    Parameters
    ----------
    timers : TimerService
        Time.
    retention : callable
        Seconds that an entry is kept.
    claims : int
        Entries held at most.
    """

    def __init__(
        self, timers: TimerService, retention: Callable[[], float], claims: int
    ) -> None:
        self._table: ClaimTable[None] = ClaimTable(timers, retention, claims, 0)

    @property
    def full(self) -> bool:
        """Whether no further entry fits."""
        return self._table.full

    def __len__(self) -> int:
        return len(self._table)

    def released(self, key: ClaimKey) -> bool:
        """Whether the request was released here."""
        return self._table.get(key) is not None

    def record(self, key: ClaimKey) -> None:
        """Record a release, before the first byte is sent."""
        self._table.claim(key, b"")

    def end(self, key: ClaimKey, ran: bool) -> None:
        """Record the end; a request that provably did not run is forgotten."""
        if ran:
            self._table.settle(key, ClaimState.UNKNOWN)
        else:
            self._table.withdraw(key)
