"""Which host to borrow a team's permits from.

Load this answers: a team within its rate whose requests nearly all arrive at a few
hosts, or in one availability zone. The permits are then at hosts that nothing reaches,
and asking the neighbours, which are as short of them, would refuse what the team may
have. A borrower remembers what each lender had left when it answered, and how fast that
grows again, so that it asks the richest first and, where none has any, nobody.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

__all__ = ["LenderEstimates", "LenderSettings"]

MIN_EXPECTED_PERMITS = 0.2
"""Part of a permit that is worth a message where no lender has a whole one."""


@dataclass(frozen=True, slots=True)
class LenderSettings:
    """Whom a borrower asks, and how often.

    Attributes
    ----------
    min_backoff_seconds, max_backoff_seconds : float
        Time for which a lender that had too little is not asked again; doubled with
        each time up to the longest. The longest bounds the messages for a team far
        over its rate to one a second for each pair of hosts.
    """

    min_backoff_seconds: float = 0.05
    max_backoff_seconds: float = 1.0


class _LenderEstimate:
    """What is known of one lender."""

    __slots__ = ("answered_at", "left", "backoff")

    def __init__(self, left: float, now: float) -> None:
        self.left = left
        self.answered_at = now
        self.backoff = 0.0


class LenderEstimates:
    """What one host knows of the other keepers of one team's permits.

    Parameters
    ----------
    burst, rate : float
        Permits that each keeper may have saved, and gets a second.
    random_source : random.Random
        Source of the choice among equals; without it all hosts would ask the same one.
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
        """Take another part of the team's burst and rate."""
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
        """Host to ask; None where none is likely to have any.

        One near by that is likely to have all that is wanted goes first, else the one
        that is likely to have most.

        Parameters
        ----------
        near : collection of str
            Hosts that are cheap to ask.
        least, most : float
            Permits wanted.
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
        """Note what a lender gave and what it has left."""
        estimate = self._estimates.get(host)
        if estimate is None:
            estimate = self._estimates[host] = _LenderEstimate(left, now)
        estimate.left = left
        estimate.answered_at = now
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
        elapsed = now - estimate.answered_at
        if elapsed < estimate.backoff:
            return 0.0
        return min(self._burst, estimate.left + elapsed * self._rate)
