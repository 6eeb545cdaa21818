"""Token bucket.

References
----------
RFC 2697, A Single Rate Three Color Marker, section 3.
"""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Bucket that fills at a rate up to a capacity.

    Parameters
    ----------
    rate : float
        Tokens a second.
    capacity : float
        Largest number of tokens held.
    now : float
        Monotonic time in seconds.
    level : float, optional
        Initial tokens; the capacity if absent.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, capacity=1.0, now=0.0)
    >>> bucket.acquire(0.0), bucket.acquire(0.1), bucket.acquire(0.5)
    (True, False, True)
    """

    def __init__(
        self, rate: float, capacity: float, now: float, level: float | None = None
    ) -> None:
        self._rate = rate
        self._capacity = capacity
        self._level = capacity if level is None else min(level, capacity)
        self._updated = now

    @property
    def rate(self) -> float:
        """Rate in tokens a second."""
        return self._rate

    @property
    def capacity(self) -> float:
        """Largest number of tokens held."""
        return self._capacity

    def level(self, now: float) -> float:
        """Return the number of tokens held at `now`."""
        self._fill(now)
        return self._level

    def acquire(self, now: float, tokens: float = 1.0) -> bool:
        """Take `tokens` if there are enough; return whether they were taken."""
        self._fill(now)
        if self._level < tokens:
            return False
        self._level -= tokens
        return True

    def wait(self, now: float, tokens: float = 1.0) -> float:
        """Return the seconds until `tokens` are held, infinite if they never are."""
        self._fill(now)
        missing = tokens - self._level
        if missing <= 0:
            return 0.0
        if tokens > self._capacity or self._rate <= 0:
            return float("inf")
        return missing / self._rate

    def reconfigure(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; tokens beyond the new capacity are lost."""
        self._fill(now)
        self._rate = rate
        self._capacity = capacity
        self._level = min(self._level, capacity)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._level = min(self._capacity, self._level + elapsed * self._rate)
        self._updated = max(self._updated, now)
