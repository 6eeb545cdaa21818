"""Retry-after times for refused callers.

Many callers may be refused at the same moment. Their retries are spread evenly over an
interval, so that they don't coincide again, and the interval begins when room is
expected.
"""

import random

__all__ = ["jittered_retry_after"]

MIN_RETRY_AFTER_SECONDS = 0.05
"""Seconds below which a retry would meet the same queue."""

MAX_RETRY_AFTER_SECONDS = 5.0
"""Seconds after which callers of interactive requests no longer wait."""


def jittered_retry_after(expected_wait: float, random_source: random.Random) -> float:
    """Random number of seconds after which one refused caller should retry.

    Parameters
    ----------
    expected_wait : float
        Seconds until room is expected.

    Examples
    --------
    >>> source = random.Random(7)
    >>> 0.4 <= jittered_retry_after(0.4, source) <= 0.8
    True
    """
    soonest = min(
        max(expected_wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS / 2
    )
    return soonest * (1.0 + random_source.random())
