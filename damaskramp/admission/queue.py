"""Calls that wait for a permit, in the order in which they should get it.

The order is: more important class, then work already paid for upstream, then the
team that has had least of its share, then the lower rank inside the team.

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
"""Told once: None for a permit."""

Tier = tuple[int, bool]
"""Class and whether the work is new: lower goes first."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A call that waits.

    Attributes
    ----------
    since : float
        Monotonic time in seconds from which it has waited.
    timer : TimerHandle
        Ends the wait.
    waiting : bool
        Whether it stands in a queue.
    """

    request: AdmissionRequest
    rank: float
    since: float
    callback: AdmissionCallback
    timer: TimerHandle = field(default_factory=TimerHandle)
    waiting: bool = False

    @property
    def tier(self) -> Tier:
        """Class and whether the work is new."""
        return self.request.priority, self.request.depth == 0


class WaitQueue:
    """Priority queue with fair sharing between teams inside a class.

    Parameters
    ----------
    weights : mapping of TeamId to float
        Shares; 1 for teams that it lacks.
    """

    def __init__(self, weights: Mapping[TeamId, float]) -> None:
        self._weights = weights
        self._tiers: SortedDict = SortedDict()
        self._length = 0
        self._virtual: dict[int, float] = {}
        self._finish: dict[tuple[int, TeamId], float] = {}

    def __len__(self) -> int:
        return self._length

    def set_weights(self, weights: Mapping[TeamId, float]) -> None:
        """Follow new shares."""
        self._weights = weights
        self._finish.clear()
        self._virtual.clear()

    def push(self, waiter: Waiter) -> None:
        """Let a call wait."""
        teams = self._tiers.setdefault(waiter.tier, {})
        team = waiter.request.team
        if team not in teams:
            teams[team] = SortedKeyList(key=_rank)
        teams[team].add(waiter)
        waiter.waiting = True
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Let a call no longer wait."""
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
        """Take out the call that should run next."""
        tier, teams = self._tiers.peekitem(0)
        priority = tier[0]
        team = min(teams, key=lambda name: (self._start(priority, name), name))
        waiter = teams[team][0]
        self.remove(waiter)
        self.charge(waiter.request)
        return waiter

    def best_priority(self) -> int | None:
        """Most important class that waits."""
        return self._tiers.peekitem(0)[0][0] if self._tiers else None

    def worst_priority(self) -> int | None:
        """Least important class that waits."""
        return self._tiers.peekitem(-1)[0][0] if self._tiers else None

    def last(self) -> Waiter:
        """Call that should give way first."""
        tier, teams = self._tiers.peekitem(-1)
        priority = tier[0]
        team = max(teams, key=lambda name: (self._claim(priority, name, teams), name))
        return teams[team][-1]

    def charge(self, request: AdmissionRequest) -> None:
        """Count a call against its team's share."""
        key = request.priority, request.team
        start = self._start(*key)
        self._virtual[request.priority] = start
        self._finish[key] = start + 1.0 / self._weight(request.team)

    def _start(self, priority: int, team: TeamId) -> float:
        virtual = self._virtual.get(priority, 0.0)
        return max(virtual, self._finish.get((priority, team), 0.0))

    def _claim(self, priority: int, team: TeamId, teams: dict) -> float:
        """Virtual time at which the last waiting call of a team would end."""
        waiting = len(teams[team]) / self._weight(team)
        return self._start(priority, team) + waiting

    def _weight(self, team: TeamId) -> float:
        return self._weights.get(team, 1.0)


def _rank(waiter: Waiter) -> float:
    return waiter.rank
