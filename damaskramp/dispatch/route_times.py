"""Mean answer times of routes, compared with the time that their requests have.

Some requests have a latency target of only a few times their run time. On the slower of
two servers some of them would be late, so for them the speed of the server matters more
than its availability zone. The mean times also serve to hedge against servers that fall
silent: a request that may run twice and has waited far longer than others take is sent
to a second server while there is time for one more run.
"""

__all__ = ["RouteTimes"]

SMOOTHING = 0.05
"""Weight of the newest answer in a route's exponential moving average, which covers
about the last few dozen answers."""

TAIL_FACTOR = 4.0
"""Multiple of the mean that an answer may well take. One answer in a hundred takes as
long if run times vary as widely as their mean and servers of one service differ by
half."""

MIN_HEDGE_DELAY = 0.05
"""Seconds below which a pause of a process or a lost packet can't be distinguished from
a silent server."""


class RouteTimes:
    """Mean times of answers by route.

    Examples
    --------
    >>> times = RouteTimes()
    >>> times.record_answer("ballots", 0.05)
    >>> times.is_tight("ballots", 0.15), times.is_tight("ballots", 1.5)
    (True, False)
    """

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record_answer(self, route: str, seconds: float) -> None:
        """Record the time in seconds that an answer took."""
        mean = self._means.get(route, seconds)
        self._means[route] = mean + SMOOTHING * (seconds - mean)

    def is_tight(self, route: str, spare: float) -> bool:
        """Whether a request that has `spare` seconds may well be answered too late."""
        return self._means.get(route, 0.0) * TAIL_FACTOR > spare

    def hedge_delay(self, route: str, remaining: float) -> float | None:
        """Seconds of silence after which to use a second server; None for never.

        Parameters
        ----------
        remaining : float
            Seconds until nobody waits for the answer.

        Examples
        --------
        >>> times = RouteTimes()
        >>> times.record_answer("draws", 0.05)
        >>> times.hedge_delay("draws", 1.0), times.hedge_delay("draws", 0.2)
        (0.2, None)
        """
        mean = self._means.get(route)
        if mean is None:
            return None
        hedge_delay = max(MIN_HEDGE_DELAY, TAIL_FACTOR * mean)
        return hedge_delay if hedge_delay + mean < remaining else None

    def retain(self, routes: set[str]) -> None:
        """Drop the mean times of all other routes."""
        self._means = {name: self._means[name] for name in routes & set(self._means)}
