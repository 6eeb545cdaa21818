"""Ranges of claim keys, and since when this node accounts for each."""

from damaskramp.core import TimerService
from damaskramp.dedup.request_ids import ClaimKey
from damaskramp.ownership import Ownership

__all__ = ["RANGES", "RangeHistory", "thing_of"]

RANGES = 256


def thing_of(key: ClaimKey) -> str:
    """Name under which the range of a key is owned.

    Examples
    --------
    >>> thing_of(bytes([7, 1]))
    'request/7'
    """
    return f"request/{key[0]}"


class RangeHistory:
    """Moments at which this node became the owner of each range.

    Parameters
    ----------
    timers : TimerService
        Time.
    ownership : Ownership
        Owners inside the zone.
    """

    OBSERVE_SECONDS = 0.25
    OBSERVED_AT_ONCE = 2

    def __init__(self, timers: TimerService, ownership: Ownership) -> None:
        self._timers = timers
        self._ownership = ownership
        self._since: dict[str, float] = {}
        self._next = 0
        self._handle = timers.every(self.OBSERVE_SECONDS, self._observe_some)

    def owned_since(self, key: ClaimKey) -> float | None:
        """Monotonic time since which this node owns the range of `key`, or None."""
        return self._observe(thing_of(key))

    def observe_all(self) -> None:
        """Look at every range; to be called when members change."""
        for number in range(RANGES):
            self._observe(f"request/{number}")

    def close(self) -> None:
        """Stop looking."""
        self._handle.cancel()

    def _observe_some(self) -> None:
        for _ in range(self.OBSERVED_AT_ONCE):
            self._observe(f"request/{self._next}")
            self._next = (self._next + 1) % RANGES

    def _observe(self, thing: str) -> float | None:
        if not self._ownership.owns(thing):
            self._since.pop(thing, None)
            return None
        since = self._since.setdefault(thing, self._timers.now)
        return max(since, self._ownership.active_since)
