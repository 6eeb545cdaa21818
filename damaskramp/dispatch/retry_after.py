"""When refused callers are told to come back.

Load this answers: many callers refused at the same moment. Their returns are spread
evenly over a span, so that they don't meet again, and the span begins when room is
expected.
"""

import random

__all__ = ["jittered_retry_after"]

MIN_RETRY_AFTER_SECONDS = 0.05
"""Seconds below which a return would find the same queue."""

MAX_RETRY_AFTER_SECONDS = 5.0
"""Seconds above which callers of interactive requests have gone."""


def jittered_retry_after(expected_wait: float, random_source: random.Random) -> float:
    """Seconds after which one refused caller should return.

    Parameters
    ----------
    expected_wait : float
        Seconds until there is likely room.

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
