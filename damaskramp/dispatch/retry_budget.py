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
"""

from dataclasses import dataclass

from damaskramp.core.ids import ServiceName

__all__ = ["RepeatShare", "RetryBudget", "RetryBudgetSettings"]

PARTS_PER_WINDOW = 20
"""Number of parts in which a window is counted. Repeats are counted over one part more
than the window, so that the coarse count never allows more than an exact one."""


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


class _WindowCounts:
    """Number of events in each part of a window."""

    def __init__(self) -> None:
        self._parts: dict[int, float] = {}

    def add(self, part: int, amount: float = 1.0) -> None:
        self._parts[part] = self._parts.get(part, 0.0) + amount
        if len(self._parts) > 4 * PARTS_PER_WINDOW:
            for old in [
                key for key in self._parts if key < part - 3 * PARTS_PER_WINDOW
            ]:
                del self._parts[old]

    def sum(self, first: int, last: int) -> float:
        return sum(n for key, n in self._parts.items() if first <= key <= last)


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
        self._requests: dict[ServiceName, _WindowCounts] = {}
        self._repeats: dict[ServiceName, _WindowCounts] = {}

    def reconfigure(self, settings: RetryBudgetSettings) -> None:
        """Take a new bound; the counts stay unless the length of the window changes."""
        if settings.window != self._settings.window:
            self._requests.clear()
            self._repeats.clear()
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
        self._counts(self._requests, service).add(part)
        if repeat_share > 0:
            self._counts(self._repeats, service).add(part, repeat_share)

    def spend(self, service: ServiceName, now: float, depth: int = 0) -> bool:
        """Spend one repeat; False if the budget has none left.

        Parameters
        ----------
        depth : int
            Number of levels of services below this one, whose calls a repeat makes
            once more.
        """
        settings = self._settings
        part = self._part(now)
        requests = self._counts(self._requests, service)
        # Demand may fall while a service fails, so the window before counts if it had
        # more requests.
        recent = requests.sum(part - PARTS_PER_WINDOW + 1, part)
        previous = requests.sum(
            part - 2 * PARTS_PER_WINDOW + 1, part - PARTS_PER_WINDOW
        )
        allowed = settings.used_ratio * settings.ratio * max(recent, previous)
        allowed += settings.used_allowance * settings.allowance / self._hosts
        allowed *= settings.depth_share**depth
        repeats = self._counts(self._repeats, service)
        if repeats.sum(part - PARTS_PER_WINDOW, part) + 1 > allowed + self._draw:
            return False
        repeats.add(part)
        return True

    def _part(self, now: float) -> int:
        return int(now * PARTS_PER_WINDOW / self._settings.window)

    def _counts(
        self, table: dict[ServiceName, _WindowCounts], service: ServiceName
    ) -> _WindowCounts:
        counts = table.get(service)
        if counts is None:
            counts = table[service] = _WindowCounts()
        return counts
