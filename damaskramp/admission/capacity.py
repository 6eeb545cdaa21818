"""Capacity of a backend server, estimated and corrected by what it leads to."""

from damaskramp.admission.estimate import TimeEstimate

__all__ = ["CapacityEstimate"]

INFINITE = float("inf")
MIN_GAIN = 0.85
MAX_GAIN = 4.0
CALM_GAIN = 1.1
CALM_FACTOR = 1.5
GAIN_STEP = 0.01


class CapacityEstimate:
    """Calls a second that a backend server can serve.

    By Little's law this is the limit over the time of a call. A gain corrects it: it
    falls while the queue stands and grows while permits are free. Far above 1 it
    stands for a calm backend server, whose levels are off.
    """

    def __init__(self) -> None:
        self._own = TimeEstimate()
        self._whole = TimeEstimate()
        self._gain = MAX_GAIN
        self._pressed = False
        self._saturated = False

    @property
    def own_seconds(self) -> float:
        """Smoothed own time of a call, 0 before the first."""
        return self._own.mean or 0.0

    @property
    def gain(self) -> float:
        """Correction of the capacity."""
        return self._gain

    def observe(self, own_seconds: float, seconds: float, now: float) -> None:
        """Learn from a call."""
        self._own.add(own_seconds, now)
        self._whole.add(seconds, now)

    def least_seconds(self, now: float) -> float:
        """Time that a call takes at the least, calls further down included."""
        return self._whole.least(now)

    def press(self) -> None:
        """Note that a call was shed for want of room."""
        self._pressed = True

    def saturate(self) -> None:
        """Note that all permits are taken."""
        self._saturated = True

    def calls_per_second(self, limit: int, slots: int) -> float:
        """Estimate without the gain, infinite before the first call."""
        capacity = INFINITE
        if self._own.mean:
            capacity = min(capacity, limit / self._own.mean)
        if self._whole.mean:
            capacity = min(capacity, slots / self._whole.mean)
        return capacity

    def adjust(self, queue_stands: bool, half_idle: bool, free: bool) -> None:
        """Correct the gain by what happened since the last time."""
        if self._pressed or queue_stands:
            step = 2 * GAIN_STEP if self._gain > 1.0 else GAIN_STEP
            self._gain = max(MIN_GAIN, min(CALM_GAIN, self._gain - step))
        elif not self._saturated:
            calm = self._gain > CALM_GAIN or half_idle
            factor = CALM_FACTOR if calm else 1.0
            self._gain = min(MAX_GAIN, self._gain * factor + 2 * GAIN_STEP)
        elif self._gain < CALM_GAIN:
            self._gain += GAIN_STEP
        self._pressed = False
        self._saturated = not free
