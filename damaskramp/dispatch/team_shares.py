"""Waiting requests of one rank, served in fair shares among teams.

Start-time fair queueing: each team has a virtual time, the service time that its
requests have used divided by its weight. The team with the smallest one starts its next
request, so teams that wait share the slots by weight, and no slot is idle while any
request waits. A team that did not wait gets no credit for that. Within a team, requests
are ordered by `Work.order`.

Requests of unknown team together get the share that their number gives them.

Examples
--------
>>> from damaskramp.dispatch.work import Work
>>> queue = TeamQueue(TeamWeights({"clubs": 10.0, "guests": 10.0}))
>>> def add(team, order):
...     work = Work("k", False, 2, order, 9.0)
...     work.team, work.cost, work.state = team, 0.1, "waiting"
...     queue.push(work)
>>> for n in range(4):
...     add("clubs", n)
>>> add("guests", 9)
>>> started = []
>>> while (work := queue.head()) is not None:
...     work.state = "done"
...     queue.remove(work)
...     queue.charge(work, work.cost)
...     started.append(work.team)
>>> started
['clubs', 'guests', 'clubs', 'clubs', 'clubs']
"""

from collections.abc import Iterator
from heapq import heappop, heappush

from damaskramp.dispatch.work import Work

__all__ = ["TeamQueue", "TeamWeights"]


class TeamWeights:
    """Weights of teams, by their rates in the configuration.

    Parameters
    ----------
    rates : dict
        Requests a second by team; a team with 0 has no limit and gets the mean weight.
    """

    def __init__(self, rates: dict[str, float] | None = None) -> None:
        self._rates: dict[str, float] = {}
        self._mean = 1.0
        self.update(rates or {})

    def update(self, rates: dict[str, float]) -> None:
        """Take the rates of a new configuration."""
        self._rates = {team: rate for team, rate in rates.items() if rate > 0}
        count = len(self._rates)
        self._mean = sum(self._rates.values()) / count if count else 1.0

    def of(self, team: str) -> float:
        """Weight of a team."""
        return self._rates.get(team, self._mean)


class _Team:
    """Waiting requests of one team."""

    __slots__ = ("cost", "count", "heap", "virtual_time")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Work]] = []
        self.count = 0
        self.cost = 0.0
        self.virtual_time = 0.0

    def head(self) -> Work | None:
        while self.heap and self.heap[0][2].state != "waiting":
            heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class TeamQueue:
    """Waiting requests of one rank, by team."""

    def __init__(self, weights: TeamWeights) -> None:
        self._weights = weights
        self._teams: dict[str, _Team] = {}
        self._virtual_time = 0.0
        self._last_number = 0
        self.cost = 0.0
        self.count = 0

    @property
    def teams(self) -> set[str]:
        """Teams that have a waiting request."""
        return {name for name, team in self._teams.items() if team.count}

    @property
    def waiting(self) -> Iterator[Work]:
        """All waiting requests."""
        for team in self._teams.values():
            for entry in team.heap:
                if entry[2].state == "waiting":
                    yield entry[2]

    def push(self, work: Work) -> None:
        """Add a request whose `cost` is its expected run time in seconds."""
        team = self._teams.get(work.team)
        if team is None:
            team = self._teams[work.team] = _Team()
        if not team.count:
            team.virtual_time = max(team.virtual_time, self._virtual_time)
        self._last_number += 1
        heappush(team.heap, (work.order, self._last_number, work))
        self._change(team, work.cost, 1)

    def head(self) -> Work | None:
        """Request that starts next; None if none waits."""
        if not self.count:
            return None
        heads = [
            (team.virtual_time, head.order, number, head)
            for number, team in enumerate(self._teams.values())
            if team.count and (head := team.head()) is not None
        ]
        return min(heads)[3] if heads else None

    def remove(self, work: Work) -> None:
        """Remove a waiting request."""
        self._change(self._teams[work.team], -work.cost, -1)

    def charge(self, work: Work, cost: float) -> None:
        """Charge a request that starts to its team; `cost` is in seconds."""
        team = self._teams[work.team]
        self._virtual_time = max(self._virtual_time, team.virtual_time)
        team.virtual_time += cost / self._weight(work.team)
        if len(self._teams) > 1:
            self._forget_idle_teams()

    def cost_ahead(self, name: str) -> float:
        """Expected run times in seconds that go before a further request of a team."""
        team = self._teams.get(name)
        active = sum(
            self._weight(other)
            for other, state in self._teams.items()
            if state.count and other != name
        )
        own = self._weight(name)
        return min(self.cost, (team.cost if team else 0.0) * (own + active) / own)

    def _weight(self, name: str) -> float:
        if name:
            return self._weights.of(name)
        unknown = self._teams.get("")
        known = [
            (self._weights.of(other), state.count)
            for other, state in self._teams.items()
            if other and state.count
        ]
        count = sum(number for _, number in known)
        if unknown is None or not count:
            return 1.0
        return sum(weight for weight, _ in known) * (unknown.count + 1) / (count + 1)

    def _change(self, team: _Team, cost: float, count: int) -> None:
        team.count += count
        team.cost = max(0.0, team.cost + cost)
        self.count += count
        self.cost = max(0.0, self.cost + cost)

    def _forget_idle_teams(self) -> None:
        idle = [
            name
            for name, team in self._teams.items()
            if not team.count and team.virtual_time <= self._virtual_time
        ]
        for name in idle:
            del self._teams[name]
