"""Budget of requests that a host may send to a second backend server.

The budget bounds the repeats of each service over all hosts in a sliding window. Each
host stays within the part that its own requests add, and an equal part of the fixed
allowance, so hosts need no messages and a network partition changes nothing. In a large
fleet the part of a host is a few repeats or a fraction of one. A random number that
each host draws once decides whether its part is rounded up or down, so that the parts
of all hosts still add up to the whole.

This bounds repeats in a call graph whose upper services are repeated. A run that is
itself a repeat makes all its calls once more, and these count as repeats at the
services below. A call does not say which run it belongs to, but a host knows the share
of repeats among the runs at its backend server, and counts that share of each call.

Where the rank of a chain is known, the budget is kept for the more important chains: a
lower rank may spend only what the higher ones are not expected to need.
"""

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

from damaskramp.core.ids import ServiceName
from damaskramp.dispatch.lineage import UNKNOWN_RANK
from damaskramp.dispatch.ranked_repeats import RankedRepeats
from damaskramp.dispatch.window_counts import PARTS_PER_WINDOW, WindowCounts

__all__ = ["RepeatShare", "RetryBudget", "RetryBudgetSettings", "SpendDecision"]

SHARE_SMOOTHING = 0.02
"""Weight of the newest run in the moving average of repeats, which covers about the
last fifty runs, about as many as run at once."""


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Published bound on repeats, and the part of it that hosts use.

    Attributes
    ----------
    ratio : float
        Number of repeats allowed for each request.
    window : float
        Length of the sliding window in seconds.
    allowance : float
        Number of further repeats allowed in a window, over all hosts.
    depth_share : float
        Factor on a host's part for each level of services below. Repeats spent at the
        levels above count as spent below, but hosts differ in how many these are: with
        equal parts at four levels, the deepest level exceeds its bound by a third.
    used_ratio, used_allowance : float
        Shares of the ratio and of the allowance that hosts spend themselves. The rest
        is a reserve, because the share of runs that are repeats is a mean, and because
        the parts of hosts are too large for a while when the fleet shrinks.
    """

    ratio: float = 0.2
    window: float = 10.0
    allowance: float = 48.0
    depth_share: float = 0.5
    used_ratio: float = 0.5
    used_allowance: float = 0.5


class SpendDecision(Enum):
    """Decision on a repeat.

    ``BUDGET``: the budget is used up. ``RESERVED``: what is left is kept for chains of
    higher rank.
    """

    ALLOWED = "allowed"
    BUDGET = "budget"
    RESERVED = "reserved"


class RepeatShare:
    """Moving average of the share of a backend server's runs that are repeats.

    Examples
    --------
    >>> share = RepeatShare()
    >>> for _ in range(200):
    ...     share.record_run(1.0)
    >>> share.value > 0.95
    True
    """

    def __init__(self) -> None:
        self._value = 0.0

    @property
    def value(self) -> float:
        """Probability that a running request is a repeat, from 0 to 1."""
        return self._value

    def record_run(self, repeat_share: float) -> None:
        """Record a run and the probability that it is a repeat."""
        self._value += SHARE_SMOOTHING * (repeat_share - self._value)


class RetryBudget:
    """Retry budget of one host for each service.

    Parameters
    ----------
    draw : float
        Random number of this host, from 0 to 1, that decides on rounding its part up
        or down; 0 rounds down.
    """

    def __init__(self, settings: RetryBudgetSettings, draw: float = 0.0) -> None:
        self._settings = settings
        self._draw = draw
        self._hosts = 1
        self._requests: dict[ServiceName, WindowCounts] = defaultdict(WindowCounts)
        self._repeats: dict[ServiceName, WindowCounts] = defaultdict(WindowCounts)
        self._ranked: dict[ServiceName, RankedRepeats] = defaultdict(RankedRepeats)

    def reconfigure(self, settings: RetryBudgetSettings) -> None:
        """Take a new bound; the counts stay unless the length of the window changes."""
        if settings.window != self._settings.window:
            self._requests.clear()
            self._repeats.clear()
            self._ranked.clear()
        self._settings = settings

    def resize(self, hosts: int) -> None:
        """Set the number of hosts that share the allowance."""
        self._hosts = max(1, hosts)

    def record_request(
        self, service: ServiceName, now: float, repeat_share: float = 0.0
    ) -> None:
        """Count a request for a service.

        Parameters
        ----------
        repeat_share : float
            Probability that the request is a call of a run that was itself a repeat,
            from 0 to 1.
        """
        part = self._part(now)
        self._requests[service].add(part)
        if repeat_share > 0:
            self._repeats[service].add(part, repeat_share)

    def decide(
        self, service: ServiceName, now: float, depth: int, rank: int
    ) -> SpendDecision:
        """Spend one repeat if the budget has one left for this rank.

        Parameters
        ----------
        depth : int
            Number of levels of services below this one, whose calls a repeat makes
            once more.
        rank : int
            Rank of the root of the request's chain; an unknown one spends whatever is
            left.
        """
        part = self._part(now)
        repeats = self._repeats[service]
        spent = repeats.sum(part - PARTS_PER_WINDOW, part)
        room = self._allowed(service, part, depth) + self._draw - spent
        if rank != UNKNOWN_RANK:
            ranked = self._ranked[service]
            ranked.record_wanted(rank, part)
        if room < 1:
            return SpendDecision.BUDGET
        if rank != UNKNOWN_RANK:
            if room < 1 + ranked.reserved_above(rank, part):
                return SpendDecision.RESERVED
            ranked.record_spent(rank, part)
        repeats.add(part)
        return SpendDecision.ALLOWED

    def outranks_others(self, service: ServiceName, rank: int, now: float) -> bool:
        """Whether a rank is the highest of several that lately wanted repeats."""
        ranked = self._ranked.get(service)
        return ranked is not None and ranked.outranks_others(rank, self._part(now))

    def _allowed(self, service: ServiceName, part: int, depth: int) -> float:
        """Number of repeats in a window that this host may spend."""
        settings = self._settings
        requests = self._requests[service]
        # Demand may fall while a service fails, so the window before counts if it had
        # more requests.
        recent = requests.sum(part - PARTS_PER_WINDOW + 1, part)
        previous = requests.sum(
            part - 2 * PARTS_PER_WINDOW + 1, part - PARTS_PER_WINDOW
        )
        allowed = settings.used_ratio * settings.ratio * max(recent, previous)
        allowed += settings.used_allowance * settings.allowance / self._hosts
        return allowed * settings.depth_share**depth

    def _part(self, now: float) -> int:
        return int(now * PARTS_PER_WINDOW / self._settings.window)
