"""Waits between attempts, and hints of when to come back, spread at random.

References
----------
M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015.
"""

from numpy.random import Generator

from damaskramp.config import RetrySettings

__all__ = ["Backoff", "HintSpreader"]


class Backoff:
    """Full jitter below a bound that doubles.

    Parameters
    ----------
    settings : RetrySettings
        Bounds.
    generator : numpy.random.Generator
        Source of jitter.
    """

    def __init__(self, settings: RetrySettings, generator: Generator) -> None:
        self._settings = settings
        self._generator = generator

    def wait(self, retry: int) -> float:
        """Seconds to wait before a retry, counted from 0."""
        bound = self._settings.backoff_seconds * 2.0**retry
        bound = min(bound, self._settings.backoff_limit_seconds)
        return float(self._generator.uniform(0.0, bound))


class HintSpreader:
    """Spreads hints, so that callers refused together do not return together.

    Parameters
    ----------
    settings : RetrySettings
        Width of the spread.
    generator : numpy.random.Generator
        Source of the spread.
    """

    def __init__(self, settings: RetrySettings, generator: Generator) -> None:
        self._settings = settings
        self._generator = generator

    def spread(self, seconds: float) -> float:
        """Time to come back: at least `seconds`; 0 stays 0, no hint.

        The interval is wide enough to differ in whole seconds, the unit of the
        ``Retry-After`` field.
        """
        if seconds <= 0.0:
            return 0.0
        width = max(seconds, self._settings.hint_spread_seconds)
        return seconds + float(self._generator.uniform(0.0, width))
