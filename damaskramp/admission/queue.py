"""Priority queue of calls that wait for a permit.

Calls are ordered by class, the most important first; then calls on which earlier hops
already spent work; then by team, the one that has used least of its share first; then
by rank within the team, the lowest first.

References
----------
Goyal, Vin, Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from sortedcontainers import SortedDict, SortedKeyList

from damaskramp.admission.admission import AdmissionRequest, Refusal
from damaskramp.core import TeamId, TimerHandle

__all__ = ["AdmissionCallback", "WaitQueue", "Waiter"]

AdmissionCallback = Callable[[Refusal | None], None]
"""Callback that is called once, with None if the call was admitted."""

Tier = tuple[int, bool]
"""Class and whether the call is at its first hop; the lowest tier goes first."""


@dataclass(slots=True, eq=False)
class Waiter:
    """Call that waits for a permit.

    Attributes
    ----------
    since : float
        Monotonic time in seconds at which the call began to wait.
    timer : TimerHandle
        Timer that ends the wait.
    waiting : bool
        Whether the call is in a queue.
    """

    request: AdmissionRequest
    rank: float
    since: float
    callback: AdmissionCallback
    timer: TimerHandle = field(default_factory=TimerHandle)
    waiting: bool = False

    @property
    def tier(self) -> Tier:
        """Class and whether the call is at its first hop."""
        return self.request.priority, self.request.depth == 0


class WaitQueue:
    """Priority queue with weighted fair queueing between teams within a class.

    Parameters
    ----------
    weights : mapping of TeamId to float
        Weights of the teams; a missing team has weight 1.
    """

    def __init__(self, weights: Mapping[TeamId, float]) -> None:
        self._weights = weights
        self._tiers: SortedDict = SortedDict()
        self._length = 0
        self._virtual_times: dict[int, float] = {}
        self._finish_times: dict[tuple[int, TeamId], float] = {}

    def __len__(self) -> int:
        return self._length

    def set_weights(self, weights: Mapping[TeamId, float]) -> None:
        """Set new weights and reset the virtual times."""
        self._weights = weights
        self._finish_times.clear()
        self._virtual_times.clear()

    def push(self, waiter: Waiter) -> None:
        """Add a call."""
        teams = self._tiers.setdefault(waiter.tier, {})
        team = waiter.request.team
        if team not in teams:
            teams[team] = SortedKeyList(key=_rank)
        teams[team].add(waiter)
        waiter.waiting = True
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a call."""
        waiter.waiting = False
        teams = self._tiers[waiter.tier]
        waiting = teams[waiter.request.team]
        waiting.remove(waiter)
        if not waiting:
            del teams[waiter.request.team]
        if not teams:
            del self._tiers[waiter.tier]
        self._length -= 1

    def pop(self) -> Waiter:
        """Remove and return the call that should run next."""
        tier, teams = self._tiers.peekitem(0)
        priority = tier[0]
        team = min(teams, key=lambda name: (self._start_time(priority, name), name))
        waiter = teams[team][0]
        self.remove(waiter)
        self.charge(waiter.request)
        return waiter

    def best_priority(self) -> int | None:
        """Return the most important class with a waiting call."""
        return self._tiers.peekitem(0)[0][0] if self._tiers else None

    def worst_priority(self) -> int | None:
        """Return the least important class with a waiting call."""
        return self._tiers.peekitem(-1)[0][0] if self._tiers else None

    def least_urgent(self) -> Waiter:
        """Return the call that should be shed first."""
        tier, teams = self._tiers.peekitem(-1)
        priority = tier[0]
        team = max(
            teams,
            key=lambda name: (self._last_finish_time(priority, name, teams), name),
        )
        return teams[team][-1]

    def charge(self, request: AdmissionRequest) -> None:
        """Charge a call to the share of its team."""
        key = request.priority, request.team
        start = self._start_time(*key)
        self._virtual_times[request.priority] = start
        self._finish_times[key] = start + 1.0 / self._weight(request.team)

    def _start_time(self, priority: int, team: TeamId) -> float:
        virtual_time = self._virtual_times.get(priority, 0.0)
        return max(virtual_time, self._finish_times.get((priority, team), 0.0))

    def _last_finish_time(self, priority: int, team: TeamId, teams: dict) -> float:
        """Return the virtual finish time of the last waiting call of a team."""
        waiting = len(teams[team]) / self._weight(team)
        return self._start_time(priority, team) + waiting

    def _weight(self, team: TeamId) -> float:
        return self._weights.get(team, 1.0)


def _rank(waiter: Waiter) -> float:
    return waiter.rank
