"""Retry budgets of teams, in proportion to their first attempts.

A request gets its allowance of retries at its entry node and may spend it anywhere in
its call chain; no other node adds to it. So the total of attempts over all nodes stays
below the number of first attempts times one plus the ratio.

References
----------
Google, Site Reliability Engineering, chapter 21, "Handling Overload": per-client
retry budgets.
"""

from damaskramp.config import RetrySettings
from damaskramp.core import TeamId

__all__ = ["RetryBudgets"]


class RetryBudgets:
    """One token bucket per team, filled only by first attempts from outside.

    Parameters
    ----------
    settings : RetrySettings
        Capacity of a bucket.

    Examples
    --------
    >>> budgets = RetryBudgets(RetrySettings())
    >>> team = TeamId("clubs")
    >>> [budgets.grant(team, ratio=0.5, limit=2) for _ in range(4)]
    [0, 1, 0, 1]
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._balances: dict[TeamId, float] = {}

    def grant(self, team: TeamId, ratio: float, limit: int) -> int:
        """Credit a first attempt and return its retry allowance.

        Parameters
        ----------
        ratio : float
            Retries per first attempt.
        limit : int
            Largest number of retries of one request.

        Returns
        -------
        int
            Retries that the request may make over its whole call chain.
        """
        balance = min(self._settings.burst, self._balances.get(team, 0.0) + ratio)
        # Rounding makes sums of 0.1 fall short of whole numbers.
        granted = min(limit, int(balance + 1e-9))
        self._balances[team] = max(0.0, balance - granted)
        return granted

    def spend(self, team: TeamId) -> bool:
        """Spend one retry on a request that its caller has sent again.

        Returns
        -------
        bool
            Whether a retry was spent; False if the budget is exhausted.
        """
        balance = self._balances.get(team, 0.0)
        if balance + 1e-9 < 1.0:
            return False
        self._balances[team] = max(0.0, balance - 1.0)
        return True

    def refund(self, team: TeamId, unspent: int) -> None:
        """Return the retries that a request did not spend."""
        balance = self._balances.get(team, 0.0) + unspent
        self._balances[team] = min(self._settings.burst, balance)

    def retain(self, teams: frozenset[TeamId]) -> None:
        """Drop the buckets of teams that are not in `teams`."""
        for team in self._balances.keys() - teams:
            del self._balances[team]
