"""Waiting requests of one kind, with the share of a server's time that they get."""

from damaskramp.dispatch.team_shares import TeamQueue, TeamWeights
from damaskramp.dispatch.work import Work

__all__ = ["LOWEST_PRIORITY", "WeightedQueue"]

LOWEST_PRIORITY = 1 << 30
"""Rank below all other priorities."""


class WeightedQueue:
    """Waiting calls or waiting new requests, by priority, team and `Work.order`.

    The virtual time of a queue is the service time that its requests have used, divided
    by its weight. Of the two queues, the one with the smaller virtual time starts its
    next request first.
    """

    def __init__(self, weight: float, team_weights: TeamWeights) -> None:
        self.weight = weight
        self.virtual_time = 0.0
        self._team_weights = team_weights
        self._ranks: dict[int, TeamQueue] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request waits."""
        return self.head() is None

    @property
    def teams(self) -> set[str]:
        """Teams that have a waiting request."""
        return {team for queue in self._ranks.values() for team in queue.teams}

    @property
    def waiting(self) -> list[Work]:
        """All waiting requests."""
        return [work for queue in self._ranks.values() for work in queue.waiting]

    def cost_ahead(self, priority: int, team: str) -> float:
        """Sum of expected run times ahead of one of this priority and team."""
        higher = sum(q.cost for rank, q in self._ranks.items() if rank < priority)
        own = self._ranks.get(priority)
        return higher + (own.cost_ahead(team) if own is not None else 0.0)

    def count(self, priority: int) -> int:
        """Number of requests ahead of one of this priority."""
        return sum(q.count for rank, q in self._ranks.items() if rank <= priority)

    def push(self, work: Work) -> None:
        """Add a request whose `cost` is its expected run time in seconds."""
        work.state = "waiting"
        queue = self._ranks.get(work.priority)
        if queue is None:
            queue = self._ranks[work.priority] = TeamQueue(self._team_weights)
        queue.push(work)

    def head(self) -> Work | None:
        """First of the waiting requests; None if there is none."""
        rank = min((r for r, q in self._ranks.items() if q.count), default=None)
        return self._ranks[rank].head() if rank is not None else None

    def remove(self, work: Work) -> None:
        """Remove a waiting request."""
        work.state = "done"
        self._ranks[work.priority].remove(work)

    def charge(self, work: Work, cost: float) -> None:
        """Charge a request that starts to this queue and to its team, in seconds."""
        self.virtual_time += cost / self.weight
        self._ranks[work.priority].charge(work, cost)
