"""Retries of a team in proportion to its first attempts.

A request gets its allowance of retries where it enters from outside, and spends it
anywhere in its chain; no other node ever adds to it. So the attempts of all nodes
together stay below first attempts times one plus the ratio.

References
----------
Google, Site Reliability Engineering, chapter 21, "Handling Overload": per-client
retry budgets.
"""

from damaskramp.config import RetrySettings
from damaskramp.core import TeamId

__all__ = ["RetryBudgets"]


class RetryBudgets:
    """One bucket for each team, filled only by first attempts from outside.

    Parameters
    ----------
    settings : RetrySettings
        Size of a bucket.

    Examples
    --------
    >>> budgets = RetryBudgets(RetrySettings())
    >>> team = TeamId("clubs")
    >>> [budgets.grant(team, ratio=0.5, limit=2) for _ in range(4)]
    [0, 1, 0, 1]
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._levels: dict[TeamId, float] = {}

    def grant(self, team: TeamId, ratio: float, limit: int) -> int:
        """Count a first attempt and hand out its allowance.

        Parameters
        ----------
        ratio : float
            Retries for each first attempt.
        limit : int
            Most retries of one request.

        Returns
        -------
        int
            Retries that the request may make over its whole chain.
        """
        level = min(self._settings.burst, self._levels.get(team, 0.0) + ratio)
        # Sums of 0.1 fall short of whole numbers by rounding.
        granted = min(limit, int(level + 1e-9))
        self._levels[team] = max(0.0, level - granted)
        return granted

    def spend(self, team: TeamId) -> bool:
        """Take one retry for a request that its caller has sent again."""
        level = self._levels.get(team, 0.0)
        if level + 1e-9 < 1.0:
            return False
        self._levels[team] = max(0.0, level - 1.0)
        return True

    def refund(self, team: TeamId, unspent: int) -> None:
        """Take back what a request did not spend."""
        level = self._levels.get(team, 0.0) + unspent
        self._levels[team] = min(self._settings.burst, level)

    def retain(self, teams: frozenset[TeamId]) -> None:
        """Drop the buckets of teams that are no more."""
        for team in self._levels.keys() - teams:
            del self._levels[team]
