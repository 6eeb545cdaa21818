"""How long the requests of a route take, against the time that they have.

Load this answers: requests whose latency target is only a few times what they take.
On the slower of two servers a part of them is late, so for them the choice of the
server goes before the choice of the availability zone. And servers that fall silent: a
request that may run twice and has waited far longer than others take is sent to a
second server while there is time for one more run.
"""

__all__ = ["RouteTimes"]

SMOOTHING = 0.05
"""Weight of the newest answer in a route's moving average: the last few dozen count."""

TAIL_FACTOR = 4.0
"""How many times the mean an answer may take: one in a hundred does, where run times
vary as widely as their mean and servers of one service differ by half."""

MIN_HEDGE_DELAY = 0.05
"""Seconds below which a pause of a process or a lost packet looks like silence."""


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
        """Note how long an answer took."""
        mean = self._means.get(route, seconds)
        self._means[route] = mean + SMOOTHING * (seconds - mean)

    def is_tight(self, route: str, spare: float) -> bool:
        """Whether a request that has `spare` seconds may well be late."""
        return self._means.get(route, 0.0) * TAIL_FACTOR > spare

    def hedge_delay(self, route: str, remaining: float) -> float | None:
        """Seconds after which a silent server is doubted; None for never.

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
        """Drop what is known of other routes."""
        self._means = {name: self._means[name] for name in routes & set(self._means)}
