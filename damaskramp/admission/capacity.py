"""Capacity estimate of a backend server, corrected by feedback."""

from damaskramp.admission.estimate import TimeEstimate

__all__ = ["CapacityEstimate"]

INFINITE = float("inf")
MIN_GAIN = 0.85
MAX_GAIN = 4.0
MAX_LOADED_GAIN = 1.1
UNLOADED_GROWTH_FACTOR = 1.5
GAIN_STEP = 0.01


class CapacityEstimate:
    """Estimate of the calls per second that a backend server can serve.

    By Little's law the capacity is the limit divided by the time of a call. A gain
    corrects it: the gain falls during a standing queue and grows while permits are
    free. A gain far above 1 stands for a lightly loaded backend server, for which the
    shed levels are effectively off.
    """

    def __init__(self) -> None:
        self._own_time = TimeEstimate()
        self._total_time = TimeEstimate()
        self._gain = MAX_GAIN
        self._has_shed = False
        self._saturated = False

    @property
    def own_seconds(self) -> float:
        """Smoothed time in seconds of the backend server itself; 0 before a call."""
        return self._own_time.mean or 0.0

    @property
    def gain(self) -> float:
        """Factor that corrects the capacity."""
        return self._gain

    def observe(self, own_seconds: float, seconds: float, now: float) -> None:
        """Record the own and the total time of a call."""
        self._own_time.add(own_seconds, now)
        self._total_time.add(seconds, now)

    def min_seconds(self, now: float) -> float:
        """Return the shortest expected call time, including downstream calls."""
        return self._total_time.lower_bound(now)

    def record_shed(self) -> None:
        """Record that a call was shed for lack of permits or queue space."""
        self._has_shed = True

    def record_saturation(self) -> None:
        """Record that all permits are in use."""
        self._saturated = True

    def calls_per_second(self, limit: int, slots: int) -> float:
        """Return the capacity without the gain; infinite before the first call."""
        capacity = INFINITE
        if self._own_time.mean:
            capacity = min(capacity, limit / self._own_time.mean)
        if self._total_time.mean:
            capacity = min(capacity, slots / self._total_time.mean)
        return capacity

    def adjust(
        self, has_standing_queue: bool, is_half_idle: bool, has_free_permit: bool
    ) -> None:
        """Correct the gain by the events since the last correction."""
        if self._has_shed or has_standing_queue:
            step = 2 * GAIN_STEP if self._gain > 1.0 else GAIN_STEP
            self._gain = max(MIN_GAIN, min(MAX_LOADED_GAIN, self._gain - step))
        elif not self._saturated:
            is_unloaded = self._gain > MAX_LOADED_GAIN or is_half_idle
            factor = UNLOADED_GROWTH_FACTOR if is_unloaded else 1.0
            self._gain = min(MAX_GAIN, self._gain * factor + 2 * GAIN_STEP)
        elif self._gain < MAX_LOADED_GAIN:
            self._gain += GAIN_STEP
        self._has_shed = False
        self._saturated = not has_free_permit
