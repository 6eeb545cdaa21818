"""Limits on the number of calls that a backend server runs at once.

References
----------
Little, "A Proof for the Queuing Formula: L = lambda W", 1961: beyond the knee, the
latency of a call grows in proportion to the concurrency; below it, it does not grow.
"""

import math
from abc import ABC, abstractmethod

__all__ = ["ConcurrencyLimiter", "FixedLimiter", "ProbingLimiter"]

WINDOW_SAMPLES = 24
LATENCY_TOLERANCE = 1.3
PROBE_FACTOR = 0.7
QUEUEING_ELASTICITY = 0.5
DECREASE_FACTOR = 0.85
OVERLOAD_FACTOR = 0.9
INCREASE_FACTOR = 0.1
BASELINE_DRIFT = 1.01
PROBE_PERIOD_WINDOWS = 64


class ConcurrencyLimiter(ABC):
    """Limit on concurrent calls."""

    @property
    @abstractmethod
    def limit(self) -> int:
        """Number of calls that may run at once."""

    @property
    def steady_limit(self) -> int:
        """Limit without the reduction by a running probe."""
        return self.limit

    @property
    @abstractmethod
    def window(self) -> int:
        """Number of the current window; callers pass it back to `observe`."""

    @abstractmethod
    def set_bound(self, upper: int) -> None:
        """Set a new upper bound."""

    @abstractmethod
    def observe(self, seconds: float, overloaded: bool, window: int) -> None:
        """Record a call that was admitted in `window` when the limit was reached.

        Parameters
        ----------
        seconds : float
            Time that the backend server itself spent on the call, without calls to
            other services.
        overloaded : bool
            Whether the backend server shed the call or let it time out.
        window : int
            Number of the window in which the call was admitted.
        """


class FixedLimiter(ConcurrencyLimiter):
    """Constant limit, equal to the upper bound.

    Parameters
    ----------
    upper : int
        Number of calls that may run at once.
    """

    def __init__(self, upper: int) -> None:
        self._upper = upper

    @property
    def limit(self) -> int:
        """Number of calls that may run at once."""
        return self._upper

    @property
    def window(self) -> int:
        """Always 0."""
        return 0

    def set_bound(self, upper: int) -> None:
        """Set a new upper bound."""
        self._upper = upper

    def observe(self, seconds: float, overloaded: bool, window: int) -> None:
        """Ignore the call."""


class ProbingLimiter(ConcurrencyLimiter):
    """Limiter that tells queueing from slowness by probing with a lower limit.

    While the latency stays near the baseline, the limit grows. Once the latency is
    higher, one window runs at a lower limit. If calls then get faster in proportion,
    they were queueing and the limit falls. If not, the backend server itself has
    become slower, fewer calls would only reduce throughput, and the new latency
    becomes the baseline. The first windows, and one in 64 later, are probed in the
    same way, to detect a baseline that was measured while calls were queueing.

    Parameters
    ----------
    lower : int
        The limit never falls below this.
    upper : int
        The limit never grows above this.
    """

    def __init__(self, lower: int, upper: int) -> None:
        self._lower = lower
        self._upper = max(lower, upper)
        self._limit = float(self._upper)
        self._baseline = 0.0
        self._windows_to_probe = 0
        self._seconds_before_probe: float | None = None
        self._probe_limit = self._limit
        self._window = 0
        self._samples: list[float] = []

    @property
    def limit(self) -> int:
        """Number of calls that may run at once."""
        if self._seconds_before_probe is not None:
            return int(self._probe_limit)
        return int(self._limit)

    @property
    def window(self) -> int:
        """Number of the current window."""
        return self._window

    @property
    def steady_limit(self) -> int:
        """Limit without the reduction by a running probe."""
        return int(self._limit)

    @property
    def probing(self) -> bool:
        """Whether the limit is lowered for a probe."""
        return self._seconds_before_probe is not None

    def set_bound(self, upper: int) -> None:
        """Set a new upper bound."""
        scale = max(self._lower, upper) / self._upper
        self._upper = max(self._lower, upper)
        self._limit = self._clamp(self._limit * scale)
        self._seconds_before_probe = None
        self._begin_window()

    def observe(self, seconds: float, overloaded: bool, window: int) -> None:
        """Record a call that was admitted in `window` when the limit was reached."""
        if window != self._window:
            return
        if overloaded:
            self._back_off()
            return
        self._samples.append(seconds)
        if len(self._samples) < WINDOW_SAMPLES:
            return
        mean = math.fsum(self._samples) / len(self._samples)
        if self._seconds_before_probe is None:
            self._evaluate_window(mean)
        else:
            self._evaluate_probe(mean)
        self._begin_window()

    def _evaluate_window(self, mean: float) -> None:
        self._windows_to_probe -= 1
        if self._windows_to_probe > 0 and mean <= self._baseline * LATENCY_TOLERANCE:
            self._baseline = min(self._baseline * BASELINE_DRIFT, mean)
            step = max(1.0, self._limit * INCREASE_FACTOR)
            self._limit = self._clamp(self._limit + step)
            return
        self._begin_probe(mean)

    def _begin_probe(self, mean: float) -> None:
        lowered = self._clamp(math.ceil(self._limit * PROBE_FACTOR))
        if int(lowered) == int(self._limit):
            self._set_baseline(mean)
            return
        self._probe_limit = lowered
        self._seconds_before_probe = mean

    def _evaluate_probe(self, mean: float) -> None:
        log_limit_ratio = math.log(int(self._limit) / int(self._probe_limit))
        seconds_before = max(self._seconds_before_probe, 1e-9)
        elasticity = math.log(seconds_before / max(mean, 1e-9)) / log_limit_ratio
        self._seconds_before_probe = None
        if elasticity >= QUEUEING_ELASTICITY:
            self._limit = self._clamp(self._limit * DECREASE_FACTOR)
        else:
            self._set_baseline(mean)

    def _set_baseline(self, mean: float) -> None:
        """Use a mean latency as that of a backend server without queueing."""
        self._baseline = mean
        self._windows_to_probe = PROBE_PERIOD_WINDOWS

    def _back_off(self) -> None:
        """Lower the limit once for all calls admitted under the previous limit."""
        self._limit = self._clamp(self._limit * OVERLOAD_FACTOR)
        self._seconds_before_probe = None
        self._begin_window()

    def _begin_window(self) -> None:
        self._window += 1
        self._samples.clear()

    def _clamp(self, limit: float) -> float:
        return min(float(self._upper), max(float(self._lower), limit))
