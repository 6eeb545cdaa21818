"""How many requests a host may send to a second backend server.

The bound holds for each service over all hosts in a sliding window. Each host keeps
within its own requests' part of it and an equal part of the fixed allowance, so that
no message is needed and a cut changes nothing.
"""

from collections import deque
from dataclasses import dataclass

from damaskramp.core.ids import ServiceName

__all__ = ["RetryBudget", "RetryBudgetSettings"]


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The published bound and how much of it is used.

    Attributes
    ----------
    ratio : float
        Repeats allowed for each request.
    window : float
        Length of the sliding window in seconds.
    allowance : float
        Repeats allowed besides, over all hosts.
    used_ratio, used_allowance : float
        Parts of the bound that hosts spend themselves. A repeated request repeats its
        calls too, which count at the services below; a fleet that shrinks leaves
        larger parts to hosts for a while.
    """

    ratio: float = 0.2
    window: float = 10.0
    allowance: float = 48.0
    used_ratio: float = 0.4
    used_allowance: float = 0.5


class RetryBudget:
    """Requests and repeats of one host in the current window, by service."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._hosts = 1
        self._requests: dict[ServiceName, deque[float]] = {}
        self._repeats: dict[ServiceName, deque[float]] = {}

    def resize(self, hosts: int) -> None:
        """Set the number of hosts that share the allowance."""
        self._hosts = max(1, hosts)

    def request(self, service: ServiceName, now: float) -> None:
        """Count a request for a service."""
        times = self._requests.setdefault(service, deque())
        times.append(now)
        self._forget(times, now)

    def spend(self, service: ServiceName, now: float) -> bool:
        """Spend one repeat; False where the budget has none left."""
        repeats = self._repeats.setdefault(service, deque())
        self._forget(repeats, now)
        requests = self._requests.setdefault(service, deque())
        self._forget(requests, now)
        settings = self._settings
        allowed = settings.used_ratio * settings.ratio * len(requests)
        allowed += settings.used_allowance * settings.allowance / self._hosts
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _forget(self, times: deque[float], now: float) -> None:
        oldest = now - self._settings.window
        while times and times[0] < oldest:
            times.popleft()
