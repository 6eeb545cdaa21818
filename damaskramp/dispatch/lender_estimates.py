"""Choice of the host from which to borrow permits of a team.

This serves a team within its rate whose requests nearly all arrive at a few hosts, or
in one availability zone. The permits are then at hosts that receive no requests, and
hosts nearby are as short of permits as the borrower. Asking only those would refuse
requests that the rate allows. A borrower therefore remembers how many permits each
lender had left when it answered, and how fast they are refilled. It asks the lender
that is likely to have most first, and asks none if no lender is likely to have any.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

__all__ = ["LenderEstimates", "LenderSettings"]

MIN_EXPECTED_PERMITS = 0.2
"""Least fraction of a permit that is worth a message if no lender has a whole one."""


@dataclass(frozen=True, slots=True)
class LenderSettings:
    """Settings for the backoff of lenders.

    Attributes
    ----------
    min_backoff_seconds, max_backoff_seconds : float
        Time for which a lender that had too few permits is not asked again. It starts
        at the minimum and doubles each time up to the maximum. The maximum bounds the
        messages for a team far over its rate to one a second for each pair of hosts.
    """

    min_backoff_seconds: float = 0.05
    max_backoff_seconds: float = 1.0


class _LenderEstimate:
    """Permits that one lender was last known to have, and its current backoff."""

    __slots__ = ("backoff", "left", "updated_at")

    def __init__(self, left: float, now: float) -> None:
        self.left = left
        self.updated_at = now
        self.backoff = 0.0


class LenderEstimates:
    """Estimates that one host keeps of the other share hosts' permits of one team.

    Parameters
    ----------
    burst, rate : float
        Permits that each share host may save, and permits that it gains a second.
    random_source : random.Random
        Source of the choice among equal lenders; without it all hosts would ask the
        same lender.
    """

    def __init__(
        self,
        settings: LenderSettings,
        burst: float,
        rate: float,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._burst = burst
        self._rate = rate
        self._random = random_source
        self._estimates: dict[str, _LenderEstimate] = {}

    def reconfigure(self, burst: float, rate: float) -> None:
        """Take a new share of the team's burst and rate."""
        self._burst = burst
        self._rate = rate

    def choose(
        self,
        hosts: Iterable[str],
        near: Collection[str],
        min_permits: float,
        max_permits: float,
        now: float,
    ) -> str | None:
        """Choose the host to ask; None if no host is likely to have enough permits.

        A near host that is likely to have `max_permits` goes first, otherwise the host
        that is likely to have most.

        Parameters
        ----------
        near : collection of str
            Hosts that are cheap to ask.
        min_permits, max_permits : float
            Bounds of the wanted loan.
        """
        best, best_rank = None, (False, 0.0, 0.0)
        for host in hosts:
            expected = self._expected_permits(host, now)
            if expected < min(min_permits, MIN_EXPECTED_PERMITS):
                continue
            enough_near = host in near and expected >= max_permits
            rank = (enough_near, expected, self._random.random())
            if best is None or rank > best_rank:
                best, best_rank = host, rank
        return best

    def record_answer(
        self, host: str, min_permits: float, given: float, left: float, now: float
    ) -> None:
        """Record a lender's answer, or its silence as an answer without permits.

        Parameters
        ----------
        min_permits : float
            Least number of permits that was asked for.
        given, left : float
            Permits that the lender gave, and permits that it has left.
        """
        estimate = self._estimates.get(host)
        if estimate is None:
            estimate = self._estimates[host] = _LenderEstimate(left, now)
        estimate.left = left
        estimate.updated_at = now
        if given >= min_permits:
            estimate.backoff = 0.0
        else:
            settings = self._settings
            backoff = max(settings.min_backoff_seconds, 2 * estimate.backoff)
            estimate.backoff = min(settings.max_backoff_seconds, backoff)

    def _expected_permits(self, host: str, now: float) -> float:
        estimate = self._estimates.get(host)
        if estimate is None:
            return self._burst
        elapsed = now - estimate.updated_at
        if elapsed < estimate.backoff:
            return 0.0
        return min(self._burst, estimate.left + elapsed * self._rate)
