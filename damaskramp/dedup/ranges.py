"""Ranges of claim keys, and since when this node accounts for each."""

from damaskramp.core import TimerService
from damaskramp.dedup.request_ids import ClaimKey
from damaskramp.ownership import Owner, Ownership

__all__ = ["RANGES", "RangeHistory", "resource_of"]

RANGES = 256
ALL_MEMBERS = 1 << 20


def resource_of(key: ClaimKey) -> str:
    """Name under which the range of a key is owned.

    Examples
    --------
    >>> resource_of(bytes([7, 1]))
    'request/7'
    """
    return f"request/{key[0]}"


class RangeHistory:
    """Moments at which this node became the owner of each range.

    Whenever the ranked members change it looks at every range within
    `CYCLE_SECONDS`, which is shorter than any time for which a newcomer is ranked, so
    that no loss goes unseen. It does so in parts, to keep the loop free.

    Parameters
    ----------
    timers : TimerService
        Time.
    ownership : Ownership
        Owners inside the zone.
    """

    OBSERVE_SECONDS = 0.5
    PART_SECONDS = 0.02
    RANGES_A_PART = 8
    CYCLE_SECONDS = OBSERVE_SECONDS + PART_SECONDS * RANGES / RANGES_A_PART

    def __init__(self, timers: TimerService, ownership: Ownership) -> None:
        self._timers = timers
        self._ownership = ownership
        self._since: dict[str, float] = {}
        self._ranked: tuple[Owner, ...] = ()
        self._next = 0
        self._stale = 0
        self._handle = timers.every(self.OBSERVE_SECONDS, self._observe_changes)

    def owned_since(self, key: ClaimKey) -> float | None:
        """Monotonic time since which this node owns the range of `key`, or None."""
        return self._observe(resource_of(key))

    def observe_all(self) -> None:
        """Look at every range at once."""
        for number in range(RANGES):
            self._observe(f"request/{number}")

    def close(self) -> None:
        """Stop looking."""
        self._handle.cancel()

    def _observe_changes(self) -> None:
        ranked = self._ownership.successors("request", ALL_MEMBERS)
        if ranked == self._ranked:
            return
        self._ranked = ranked
        idle = self._stale == 0
        self._stale = RANGES
        if idle:
            self._observe_part()

    def _observe_part(self) -> None:
        for _ in range(self.RANGES_A_PART):
            self._observe(f"request/{self._next}")
            self._next = (self._next + 1) % RANGES
        self._stale -= self.RANGES_A_PART
        if self._stale > 0:
            self._timers.after(self.PART_SECONDS, self._observe_part)

    def _observe(self, resource: str) -> float | None:
        if not self._ownership.owns(resource):
            self._since.pop(resource, None)
            return None
        since = self._since.setdefault(resource, self._timers.now)
        return max(since, self._ownership.active_since)
