"""Order of shedding between classes within a short window.

Within `window_seconds` at one decision point, no call is shed while a call of a less
important class is admitted, in either order. A call that would be shed soon after a
less important one was admitted waits instead, or passes at an entry node. After a
call was shed, calls of less important classes are shed too.
"""

from collections.abc import Callable

__all__ = ["ShedOrder"]

NEVER = float("-inf")


class ShedOrder:
    """Times at which calls of each class were last shed and admitted.

    Parameters
    ----------
    window_seconds : float
        Length of the window in which the order is kept.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window = window_seconds
        self._shed_at: dict[int, float] = {}
        self._admitted_at: dict[int, float] = {}

    def record_shed(self, priority: int, now: float) -> None:
        """Record that a call was shed."""
        self._shed_at[priority] = now

    def record_admission(self, priority: int, now: float) -> None:
        """Record that a call was admitted."""
        self._admitted_at[priority] = now

    def may_admit(self, priority: int, now: float) -> bool:
        """Whether no call of a more important class was shed in the window."""
        latest = _latest(self._shed_at, lambda other: other < priority)
        return now - latest > self._window

    def earliest_shed_time(self, priority: int) -> float:
        """Return when the window after the last less important admission ends."""
        latest = _latest(self._admitted_at, lambda other: other > priority)
        return latest + self._window


def _latest(times: dict[int, float], predicate: Callable[[int], bool]) -> float:
    return max(
        (time for other, time in times.items() if predicate(other)), default=NEVER
    )
