"""Smoothed estimate of recent call times."""

import math

__all__ = ["TimeEstimate"]

SMOOTHING = 0.05
STALE_HALF_LIFE_SECONDS = 1.0


class TimeEstimate:
    """Exponential moving averages of the call time and its deviation.

    A stale estimate must not keep out the calls that would correct it, so its
    lower bound halves with each second without an observation.

    References
    ----------
    RFC 6298, Computing TCP's Retransmission Timer, section 2.
    """

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0
        self._updated = 0.0

    @property
    def mean(self) -> float | None:
        """Mean in seconds, None before the first observation."""
        return self._mean

    def add(self, seconds: float, now: float) -> None:
        """Record the time of one call."""
        self._updated = now
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self._mean
        self._mean += SMOOTHING * error
        self._deviation += SMOOTHING * (abs(error) - self._deviation)

    def lower_bound(self, now: float) -> float:
        """Return the shortest time in seconds that a call is expected to take now."""
        if self._mean is None:
            return 0.0
        idle_seconds = max(0.0, now - self._updated)
        decay = math.exp2(-idle_seconds / STALE_HALF_LIFE_SECONDS)
        return max(0.0, self._mean - self._deviation) * decay
