"""How many calls a backend server can run at once.

References
----------
Little, "A Proof for the Queuing Formula: L = lambda W", 1961: past the knee the
time of a call grows in proportion to the calls at once, before it not at all.
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
    """Limit on the calls at once."""

    @property
    @abstractmethod
    def limit(self) -> int:
        """Calls that may run at once."""

    @property
    def steady_limit(self) -> int:
        """Limit without what a try lowers it by."""
        return self.limit

    @property
    @abstractmethod
    def window(self) -> int:
        """Number of the current window, to be shown again in `observe`."""

    @abstractmethod
    def set_bound(self, upper: int) -> None:
        """Follow a new upper bound."""

    @abstractmethod
    def observe(self, seconds: float, overloaded: bool, window: int) -> None:
        """Learn from a call that was admitted in `window` at saturation.

        Parameters
        ----------
        seconds : float
            Own time of the backend server, without calls further down.
        """


class FixedLimiter(ConcurrencyLimiter):
    """The upper bound itself.

    Parameters
    ----------
    upper : int
        Calls at once.
    """

    def __init__(self, upper: int) -> None:
        self._upper = upper

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._upper

    @property
    def window(self) -> int:
        """Always 0."""
        return 0

    def set_bound(self, upper: int) -> None:
        """Follow a new upper bound."""
        self._upper = upper

    def observe(self, seconds: float, overloaded: bool, window: int) -> None:
        """Learn nothing."""


class ProbingLimiter(ConcurrencyLimiter):
    """Tells queueing from slowness by a short try with fewer calls.

    While calls take about as long as the baseline, the limit grows. Once they
    take longer, one window runs at a lower limit. If calls then get faster in
    proportion, they were queueing and the limit falls. If not, the backend server
    has become slower as such, fewer calls would only lose throughput, and the new
    time becomes the baseline. The first windows, and one in 64 later, are tried the
    same way, so that a baseline taken while calls were queueing is found out.

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
        self._probed_seconds: float | None = None
        self._probe_limit = self._limit
        self._window = 0
        self._samples: list[float] = []

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        if self._probed_seconds is not None:
            return int(self._probe_limit)
        return int(self._limit)

    @property
    def window(self) -> int:
        """Number of the current window."""
        return self._window

    @property
    def steady_limit(self) -> int:
        """Limit without what a try lowers it by."""
        return int(self._limit)

    @property
    def probing(self) -> bool:
        """Whether the limit is lowered for a try."""
        return self._probed_seconds is not None

    def set_bound(self, upper: int) -> None:
        """Follow a new upper bound."""
        scale = max(self._lower, upper) / self._upper
        self._upper = max(self._lower, upper)
        self._limit = self._bounded(self._limit * scale)
        self._probed_seconds = None
        self._begin_window()

    def observe(self, seconds: float, overloaded: bool, window: int) -> None:
        """Learn from a call that was admitted in `window` at saturation."""
        if window != self._window:
            return
        if overloaded:
            self._back_off()
            return
        self._samples.append(seconds)
        if len(self._samples) < WINDOW_SAMPLES:
            return
        mean = math.fsum(self._samples) / len(self._samples)
        if self._probed_seconds is None:
            self._judge(mean)
        else:
            self._judge_probe(mean)
        self._begin_window()

    def _judge(self, mean: float) -> None:
        self._windows_to_probe -= 1
        if self._windows_to_probe > 0 and mean <= self._baseline * LATENCY_TOLERANCE:
            self._baseline = min(self._baseline * BASELINE_DRIFT, mean)
            step = max(1.0, self._limit * INCREASE_FACTOR)
            self._limit = self._bounded(self._limit + step)
            return
        self._begin_probe(mean)

    def _begin_probe(self, mean: float) -> None:
        lowered = self._bounded(math.ceil(self._limit * PROBE_FACTOR))
        if int(lowered) == int(self._limit):
            self._accept(mean)
            return
        self._probe_limit = lowered
        self._probed_seconds = mean

    def _judge_probe(self, mean: float) -> None:
        shrink = math.log(int(self._limit) / int(self._probe_limit))
        before = max(self._probed_seconds, 1e-9)
        elasticity = math.log(before / max(mean, 1e-9)) / shrink
        self._probed_seconds = None
        if elasticity >= QUEUEING_ELASTICITY:
            self._limit = self._bounded(self._limit * DECREASE_FACTOR)
        else:
            self._accept(mean)

    def _accept(self, mean: float) -> None:
        """Take a time as that of a backend server without a queue."""
        self._baseline = mean
        self._windows_to_probe = PROBE_PERIOD_WINDOWS

    def _back_off(self) -> None:
        """Lower the limit, once for all the calls that ran at the former one."""
        self._limit = self._bounded(self._limit * OVERLOAD_FACTOR)
        self._probed_seconds = None
        self._begin_window()

    def _begin_window(self) -> None:
        self._window += 1
        self._samples.clear()

    def _bounded(self, limit: float) -> float:
        return min(float(self._upper), max(float(self._lower), limit))
