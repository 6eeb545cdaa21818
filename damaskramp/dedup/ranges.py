"""Ranges of claim keys, and the time since which this node owns each of them."""

from damaskramp.core import TimerService
from damaskramp.dedup.request_ids import ClaimKey
from damaskramp.ownership import Owner, Ownership

__all__ = ["RANGE_COUNT", "RangeHistory", "resource_of"]

RANGE_COUNT = 256
MAX_MEMBERS = 1 << 20
"""Number of successors to request, so large that all ranked members are returned."""


def resource_of(key: ClaimKey) -> str:
    """Return the name of the ownership resource for the range of a key.

    Examples
    --------
    >>> resource_of(bytes([7, 1]))
    'request/7'
    """
    return f"request/{key[0]}"


class RangeHistory:
    """Times at which this node became the owner of each range.

    After each change of the ranked members, the history checks the owner of every
    range within `CYCLE_SECONDS`. A new member that takes over a range stays ranked for
    longer than that, so every loss of a range is detected. The ranges are checked in
    batches, so that the event loop isn't blocked.

    Parameters
    ----------
    timers : TimerService
        Source of time and timers.
    ownership : Ownership
        Owners of resources inside the zone.
    """

    OBSERVE_INTERVAL_SECONDS = 0.5
    BATCH_INTERVAL_SECONDS = 0.02
    RANGES_PER_BATCH = 8
    CYCLE_SECONDS = (
        OBSERVE_INTERVAL_SECONDS
        + BATCH_INTERVAL_SECONDS * RANGE_COUNT / RANGES_PER_BATCH
    )

    def __init__(self, timers: TimerService, ownership: Ownership) -> None:
        self._timers = timers
        self._ownership = ownership
        self._since: dict[str, float] = {}
        self._ranked_members: tuple[Owner, ...] = ()
        self._next_range = 0
        self._unobserved = 0
        self._handle = timers.every(
            self.OBSERVE_INTERVAL_SECONDS, self._observe_changes
        )

    def owned_since(self, key: ClaimKey) -> float | None:
        """Return the monotonic time since which this node owns the range of `key`.

        The result is in seconds, and None if this node doesn't own the range.
        """
        return self._observe(resource_of(key))

    def observe_all(self) -> None:
        """Check the owner of every range in one call."""
        for number in range(RANGE_COUNT):
            self._observe(f"request/{number}")

    def close(self) -> None:
        """Stop the periodic check of the ranked members."""
        self._handle.cancel()

    def _observe_changes(self) -> None:
        ranked = self._ownership.successors("request", MAX_MEMBERS)
        if ranked == self._ranked_members:
            return
        self._ranked_members = ranked
        idle = self._unobserved == 0
        self._unobserved = RANGE_COUNT
        if idle:
            self._observe_batch()

    def _observe_batch(self) -> None:
        for _ in range(self.RANGES_PER_BATCH):
            self._observe(f"request/{self._next_range}")
            self._next_range = (self._next_range + 1) % RANGE_COUNT
        self._unobserved -= self.RANGES_PER_BATCH
        if self._unobserved > 0:
            self._timers.after(self.BATCH_INTERVAL_SECONDS, self._observe_batch)

    def _observe(self, resource: str) -> float | None:
        if not self._ownership.owns(resource):
            self._since.pop(resource, None)
            return None
        since = self._since.setdefault(resource, self._timers.now)
        return max(since, self._ownership.active_since)
