"""Order of shedding between classes within a short window.

Inside `window_seconds` at one place, no call of a class may be shed while one of a
lesser class is admitted, whichever comes first. A call that would be shed soon after
a lesser one was admitted waits instead; after a call was shed, lesser ones are.
"""

from collections.abc import Callable

__all__ = ["ShedOrder"]

NEVER = float("-inf")


class ShedOrder:
    """Moments at which classes were last shed and admitted.

    Parameters
    ----------
    window_seconds : float
        Window in which the order holds.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window = window_seconds
        self._shed: dict[int, float] = {}
        self._admitted: dict[int, float] = {}

    def shed(self, priority: int, now: float) -> None:
        """Note that a call was shed."""
        self._shed[priority] = now

    def admitted(self, priority: int, now: float) -> None:
        """Note that a call was admitted."""
        self._admitted[priority] = now

    def may_admit(self, priority: int, now: float) -> bool:
        """Whether no more important call was shed in the window."""
        last = _last(self._shed, lambda other: other < priority)
        return now - last > self._window

    def may_shed_from(self, priority: int) -> float:
        """Moment from which no lesser call was admitted in the window."""
        last = _last(self._admitted, lambda other: other > priority)
        return last + self._window


def _last(moments: dict[int, float], chosen: Callable[[int], bool]) -> float:
    return max((at for other, at in moments.items() if chosen(other)), default=NEVER)
