"""Shares of the calls of each route that lately ended well, as one host sees them.

Examples
--------
>>> outcomes = CallOutcomes()
>>> outcomes.success_share("entries")
1.0
>>> for _ in range(100):
...     outcomes.record("entries", good=False)
>>> outcomes.success_share("entries") < 0.01
True
"""

__all__ = ["CallOutcomes"]

SMOOTHING = 0.05
"""Weight of the newest outcome in its exponential moving average, which covers about
the last twenty calls, a few tenths of a second of a busy host."""


class CallOutcomes:
    """Moving averages of the outcomes of calls, by route."""

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def record(self, route: str, good: bool) -> None:
        """Record the outcome of one run of a call."""
        share = self._shares.get(route, 1.0)
        self._shares[route] = share + SMOOTHING * (good - share)

    def success_share(self, route: str) -> float:
        """Share of the route's calls that end well, from 0 to 1; 1 if none is known."""
        return self._shares.get(route, 1.0)

    def retain(self, routes: set[str]) -> None:
        """Drop the shares of all other routes."""
        self._shares = {r: s for r, s in self._shares.items() if r in routes}
