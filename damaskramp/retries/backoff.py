"""Waits between attempts and retry-after hints, both with random jitter.

References
----------
M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015.
"""

from numpy.random import Generator

from damaskramp.config import RetrySettings

__all__ = ["Backoff", "HintSpreader"]


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    settings : RetrySettings
        Bound of the first wait, which doubles, and the largest bound.
    generator : numpy.random.Generator
        Source of jitter.
    """

    def __init__(self, settings: RetrySettings, generator: Generator) -> None:
        self._settings = settings
        self._generator = generator

    def wait(self, retry: int) -> float:
        """Return the seconds to wait before a retry; the first retry is 0."""
        bound = self._settings.backoff_seconds * 2.0**retry
        bound = min(bound, self._settings.backoff_limit_seconds)
        return float(self._generator.uniform(0.0, bound))


class HintSpreader:
    """Adds jitter to hints, so that callers refused together do not return together.

    Parameters
    ----------
    settings : RetrySettings
        Width of the jitter.
    generator : numpy.random.Generator
        Source of jitter.
    """

    def __init__(self, settings: RetrySettings, generator: Generator) -> None:
        self._settings = settings
        self._generator = generator

    def spread(self, seconds: float) -> float:
        """Return a hint in seconds of at least `seconds`; 0 means no hint and stays 0.

        The jitter is wide enough that hints differ in whole seconds, the unit of the
        ``Retry-After`` field.
        """
        if seconds <= 0.0:
            return 0.0
        width = max(seconds, self._settings.hint_spread_seconds)
        return seconds + float(self._generator.uniform(0.0, width))
