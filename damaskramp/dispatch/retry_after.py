"""Retry-after times for refused callers.

Many callers may be refused at the same moment. Their retries are spread evenly over an
interval, so that they don't coincide again, and the interval begins when room is
expected.
"""

import random

__all__ = ["jittered_retry_after", "warmup_retry_after"]

MIN_RETRY_AFTER_SECONDS = 0.05
"""Seconds below which a retry would meet the same queue."""

MAX_RETRY_AFTER_SECONDS = 5.0
"""Seconds after which callers of interactive requests no longer wait."""

RETURN_SECONDS = 2.0
"""Time after a warm-up, in seconds, over which the last refused callers return. Without
it, most of those who are refused again shortly before the end would return at once."""


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


def warmup_retry_after(
    expected_wait: float, warmup_left: float, random_source: random.Random
) -> float:
    """Random number of seconds after which a caller refused by cold servers returns.

    The returns are spread over the rest of the warm-up and a time after it.

    Parameters
    ----------
    expected_wait : float
        Seconds until a cold server has room.
    warmup_left : float
        Seconds until the first of the servers is warm.

    Examples
    --------
    >>> source = random.Random(7)
    >>> 0.1 <= warmup_retry_after(0.1, 3.0, source) <= 5.0
    True
    """
    soonest = max(expected_wait, MIN_RETRY_AFTER_SECONDS)
    latest = min(warmup_left + RETURN_SECONDS, MAX_RETRY_AFTER_SECONDS)
    soonest = min(soonest, latest / 2)
    return soonest + random_source.random() * (latest - soonest)
