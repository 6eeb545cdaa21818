"""Retry-after as an order of return, and memory of refused callers.

Callers that matter more, or were refused before, get the earlier parts of the interval
over which retries are spread. A node remembers for a while whom it has refused, so that
a caller who returns has a better chance than a new one of the same rank.
"""

import random
from collections import deque
from typing import NamedTuple

from damaskramp.dispatch.retry_after import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
)

__all__ = ["RefusedCallers", "Return", "ordered_retry_after"]

BANDS = 4
"""Number of parts of the interval, by rank and refusals. Within a part the retries are
spread at random."""

MAX_REMEMBERED = 4096
"""Number of refused requests that are remembered; the oldest are forgotten first."""

MEMORY_SECONDS = 10.0
"""Time for which a refused request is remembered: twice the longest retry-after."""


def ordered_retry_after(
    expected_wait: float, rank: int, refusals: int, random_source: random.Random
) -> float:
    """Seconds after which one refused caller should retry, by its place in the order.

    Parameters
    ----------
    expected_wait : float
        Seconds until room is expected.
    rank : int
        Rank of the request; 0 is the most important.
    refusals : int
        Number of times that the request was refused before.

    Examples
    --------
    >>> source = random.Random(7)
    >>> 0.4 <= ordered_retry_after(0.4, 0, 0, source) <= 0.5
    True
    >>> 0.6 <= ordered_retry_after(0.4, 2, 0, source) <= 0.7
    True
    >>> 0.4 <= ordered_retry_after(0.4, 2, 2, source) <= 0.5
    True
    """
    soonest = min(
        max(expected_wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS / 2
    )
    band = min(BANDS - 1, max(0, rank - refusals))
    return soonest * (1.0 + (band + random_source.random()) / BANDS)


class Return(NamedTuple):
    """Return of a caller whose request was refused.

    Attributes
    ----------
    refused_at : float
        Clock time in seconds of the first refusal.
    refusals : int
        Number of refusals.
    """

    refused_at: float
    refusals: int


class RefusedCallers:
    """Requests that were refused lately, by fingerprint.

    Equal requests of several callers can't be told apart; each return then takes the
    place of the one that was refused first.

    Examples
    --------
    >>> callers = RefusedCallers()
    >>> callers.record(7, None, 1.0)
    >>> returned = callers.take(7, 2.0)
    >>> returned
    Return(refused_at=1.0, refusals=1)
    >>> callers.take(7, 2.0) is None
    True
    >>> callers.record(7, returned, 2.1)
    >>> callers.take(7, 3.0)
    Return(refused_at=1.0, refusals=2)
    """

    def __init__(self) -> None:
        self._refused: dict[int, deque[tuple[float, Return]]] = {}
        self._order: deque[tuple[float, int]] = deque()

    def record(self, fingerprint: int, returned: Return | None, now: float) -> None:
        """Record a refusal, of a request that may have been refused before."""
        self._forget_old(now)
        refused_at, refusals = returned or (now, 0)
        entry = (now, Return(refused_at, refusals + 1))
        self._refused.setdefault(fingerprint, deque()).append(entry)
        self._order.append((now, fingerprint))

    def take(self, fingerprint: int, now: float) -> Return | None:
        """Take out the oldest refusal of a request; None if it was not refused."""
        if not self._refused:
            return None
        self._forget_old(now)
        return self._pop(fingerprint) if fingerprint in self._refused else None

    def _forget_old(self, now: float) -> None:
        order = self._order
        while order and (
            now - order[0][0] > MEMORY_SECONDS or len(order) > MAX_REMEMBERED
        ):
            at, fingerprint = order.popleft()
            entries = self._refused.get(fingerprint)
            if entries is not None and entries[0][0] <= at:
                self._pop(fingerprint)

    def _pop(self, fingerprint: int) -> Return:
        """Remove the oldest refusal of a fingerprint that has one."""
        entries = self._refused[fingerprint]
        _, returned = entries.popleft()
        if not entries:
            del self._refused[fingerprint]
        return returned
